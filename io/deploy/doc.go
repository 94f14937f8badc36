// Package deploy describes the two deployments that trefoilthread was first
// built for: their data centres, services, targets, classes of calls and
// distances. The demonstration and the load tool start from them.
//
// # Usage
//
//	dep, ok := deploy.Named("tiram")
//	for _, s := range dep.Services() {
//		fmt.Println(s.Name(), s.Targets())
//	}
package deploy
