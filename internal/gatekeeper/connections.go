package gatekeeper

import "container/list"

// idleWeight is the number of descriptors of a connection without a request.
const idleWeight = 1

// Connection is a connection of a client. It is idle until the header of a request has
// arrived, and between requests.
type Connection struct {
	Owner any           // of the connection, not used here
	place *list.Element // among the idle ones, nil: active or closed
	open  bool
}

// Connections decides which connections stay open. It is not safe for concurrent use.
type Connections struct {
	limit  int
	active int // descriptors of a connection with a request
	weight int
	idle   *list.List // longest idle first
}

// NewConnections returns a decision with a limit of descriptors, 0 for none. active is how
// many a connection with a request needs: 2 if the request goes on to a target.
func NewConnections(limit, active int) *Connections {
	return &Connections{limit: limit, active: active, idle: list.New()}
}

// SetLimit changes the limit. Open connections stay.
func (c *Connections) SetLimit(limit int) { c.limit = limit }

// Descriptors returns the number of descriptors that the connections count for.
func (c *Connections) Descriptors() int { return c.weight }

// Open admits a new connection, or not. It returns the connections to close for it.
func (c *Connections) Open(n *Connection) (victims []*Connection, admitted bool) {
	victims = c.makeRoom(idleWeight)
	if c.limit > 0 && c.weight+idleWeight > c.limit {
		return victims, false
	}
	n.open = true
	c.weight += idleWeight
	n.place = c.idle.PushBack(n)
	return victims, true
}

// Activate records that a request has arrived on a connection. It returns the connections to
// close for it. The connection itself is never closed by this decision until it is idle.
func (c *Connections) Activate(n *Connection) []*Connection {
	if !n.open || n.place == nil {
		return nil
	}
	c.idle.Remove(n.place)
	n.place = nil
	c.weight += c.active - idleWeight
	return c.makeRoom(0)
}

// Idle records that a connection waits for its next request.
func (c *Connections) Idle(n *Connection) {
	if n.open && n.place == nil {
		c.weight += idleWeight - c.active
		n.place = c.idle.PushBack(n)
	}
}

// Close records that a connection has ended.
func (c *Connections) Close(n *Connection) {
	if !n.open {
		return
	}
	n.open = false
	if n.place == nil {
		c.weight -= c.active
		return
	}
	c.idle.Remove(n.place)
	n.place = nil
	c.weight -= idleWeight
}

// makeRoom gives up the longest idle connections until there is room for a weight.
func (c *Connections) makeRoom(weight int) (victims []*Connection) {
	for c.limit > 0 && c.weight+weight > c.limit && c.idle.Len() > 0 {
		n := c.idle.Front().Value.(*Connection)
		c.Close(n)
		victims = append(victims, n)
	}
	return victims
}
