package fleet_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/deploy"
	"trefoilthread/io/fleet"
)

// Guards against a data centre that stays without leader after the daemon that
// led it has crashed.
func TestLeaderIsReplacedAfterCrash(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Deployment: deploy.Small(4, time.Millisecond), LeaseTime: 2 * time.Second})
	leads := func(n *fleet.Node) bool { return strings.Contains(n.Daemon().Describe(), "leading true") }
	var former *fleet.Node
	for _, n := range f.Nodes() {
		if leads(n) && former == nil {
			former = n
		}
	}
	is.True(former != nil)
	former.Daemon().Kill()
	var state string
	for range 400 {
		state = ""
		for _, n := range f.Nodes() {
			if n != former && n.DataCentre() == former.DataCentre() {
				state += n.Daemon().Describe() + "\n"
				if leads(n) {
					return
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("no leader in %s:\n%s", former.DataCentre(), state)
}
