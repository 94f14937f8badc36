package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
	"trefoilthread/io/change"
)

// readServices returns the services of all files. The faults of all files are
// reported together.
func readServices(files []string) ([]config.Service, error) {
	var all []config.Service
	var faults []error
	first := map[types.ServiceName]string{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		list, err := change.Parse(file, data)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		for _, s := range list {
			if other, ok := first[s.Name()]; ok {
				faults = append(faults, errors.Newf("%s: service %s is in %s too", file, s.Name(), other))
				continue
			}
			first[s.Name()] = file
			all = append(all, s)
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	if len(all) == 0 {
		return nil, errors.New("no service in these files")
	}
	return all, nil
}
