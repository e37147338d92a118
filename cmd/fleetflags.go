package cmd

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"turmericpulley/core/fleet"
	"turmericpulley/io/admin"
)

// fleetFlags are the flags of commands that query all instances.
type fleetFlags struct {
	*operatorFlags
	instances []string
}

func newFleetFlags(clause *kingpin.CmdClause) *fleetFlags {
	f := &fleetFlags{operatorFlags: newOperatorFlags(clause)}
	clause.Flag("instance", "HTTP address of an instance to query instead of those that the platform lists; may be repeated.").
		StringsVar(&f.instances)
	return f
}

// clientAndInstances returns a client and the instances to query. When instances are given, the platform is not queried; a
// missing URL of the platform is then replaced by that of the first instance, because newClient requires one.
func (f *fleetFlags) clientAndInstances(ctx context.Context) (*admin.Client, []fleet.Instance, error) {
	if len(f.instances) > 0 && f.platform == "" {
		f.platform = "http://" + f.instances[0]
	}
	client, err := f.newClient()
	if err != nil {
		return nil, nil, err
	}
	if len(f.instances) > 0 {
		return client, admin.InstancesAt(f.instances), nil
	}
	instances, err := client.Instances(ctx)
	if err != nil {
		_ = client.Close()
		return nil, nil, err
	}
	return client, instances, nil
}
