// Package flooder plays clients that break the limits of an entry, and watches the process
// of the entry from outside. It is used by tests only: of entries on the users' platform
// here, and of entries with their own interface in package launcher.
//
// The load and the bounds are fixed. A case that fails is mended in the product.
//
// # Usage
//
//	p := flooder.Start(t, args...)
//	for _, c := range flooder.Cases {
//		flood := c.Start(t, addr, flooder.Request{Path: "/look/7"})
//		p.Verify(t, flooder.bounds, flood, ordinaryRequest)
//		flood.Stop()
//	}
package flooder
