// Package launcher builds an entry process, the router of the fleet, from its
// settings, runs it and shuts it down gracefully.
//
// # Usage
//
//	cfg, err := loader.Load("entry.toml", launcher.Defaults())
//	err = launcher.Run(ctx, cfg, os.Stderr) // until ctx ends
//
// When the context ends, the process fails its readiness check, drains the
// requests in flight, hands over its budget shards, seals its journal and returns.
package launcher
