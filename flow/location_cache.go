package flow

import (
	"net/netip"
	"time"
)

const (
	// locationLimit bounds the flows in each of the cache's two maps.
	locationLimit = 500_000
	// locationAge is how long new entries go to the same map.
	locationAge = 40 * time.Second
)

// location is the sidecar that probably holds a flow; zero if a sidecar that was tried did not
// deliver the flow's packet.
type location struct {
	addr netip.AddrPort
	// confirmed is set once the sidecar has notified this balancer that it holds the flow.
	confirmed bool
	// incarnation identifies the sidecar process that confirmed the flow.
	incarnation uint64
}

// locationCache is a bounded cache of flow locations in two maps. When the current map is full or
// older than locationAge, it becomes the previous one, and the one before it is discarded. So an
// entry is removed if it is not used while its map is the previous one.
type locationCache struct {
	current, previous map[Key]location
	currentStart      time.Time
}

func newLocationCache() *locationCache {
	return &locationCache{current: map[Key]location{}, previous: map[Key]location{}}
}

// get returns the location of a flow, and whether the cache has an entry for the flow.
func (c *locationCache) get(k Key) (location, bool) {
	if v, ok := c.current[k]; ok {
		return v, true
	}
	v, ok := c.previous[k]
	return v, ok
}

// put stores the location of a flow in the current map, after replacing that map if it is full or
// older than locationAge.
func (c *locationCache) put(k Key, v location, now time.Time) {
	if len(c.current) >= locationLimit || now.Sub(c.currentStart) > locationAge {
		c.current, c.previous = c.previous, c.current
		clear(c.current)
		c.currentStart = now
	}
	c.current[k] = v
}

// touch puts a location that was used into the current map, so that it is kept.
func (c *locationCache) touch(k Key, v location, now time.Time) {
	if _, ok := c.current[k]; !ok || now.Sub(c.currentStart) > locationAge {
		c.put(k, v, now)
	}
}

// remove deletes the entry of a flow, if there is one.
func (c *locationCache) remove(k Key) {
	delete(c.current, k)
	delete(c.previous, k)
}
