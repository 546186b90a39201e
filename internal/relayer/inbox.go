package relayer

import (
	"slices"
	"strconv"

	"daisylane/internal/checker"
)

const (
	inboxPrefix = "inbox/"
	// maxItems bounds an inbox whose owner does not clear it.
	maxItems = 200
)

// Key returns the key of an instance's inbox.
func Key(instance string) string { return inboxPrefix + instance }

// Item is one call or answer.
type Item struct {
	ID     string `json:"id"`     // call id, the same in the answer
	From   string `json:"from"`   // instance that sent the item
	Answer bool   `json:"answer"` // whether it answers a call
	Frame  []byte `json:"frame"`  // encoded protobuf frame
}

// Check validates the item.
func (i Item) Check() error {
	var f checker.Faults
	f.Require(i.ID != "", "id", "must not be empty")
	f.Require(i.From != "", "from", "must not be empty")
	return f.Err()
}

// Inbox is the value of an inbox object. It is immutable.
type Inbox struct {
	Items []Item `json:"items"`
}

// Check validates the items.
func (b Inbox) Check() error {
	var f checker.Faults
	for n, i := range b.Items {
		f.Within("items."+strconv.Itoa(n), i.Check())
	}
	return f.Err()
}

// With returns the inbox with one more item. The oldest items give way when it is full.
func (b Inbox) With(i Item) Inbox {
	items := append(slices.Clone(b.Items), i)
	return Inbox{Items: items[max(0, len(items)-maxItems):]}
}

// Without returns the inbox without the items that were handled.
func (b Inbox) Without(handled []Item) Inbox {
	return Inbox{Items: slices.DeleteFunc(slices.Clone(b.Items), func(i Item) bool {
		return slices.ContainsFunc(handled, func(h Item) bool { return h.ID == i.ID && h.Answer == i.Answer })
	})}
}
