package relayer

import (
	"slices"
	"strconv"

	"daisylane/internal/checker"
)

const (
	inboxPrefix = "inbox/"
	// maxMessages bounds the size of an inbox whose owner does not clear it.
	maxMessages = 200
)

// InboxKey returns the object key of the inbox of an instance.
func InboxKey(instance string) string { return inboxPrefix + instance }

// Message is a call or a response.
type Message struct {
	ID         string `json:"id"`     // call id, the same in the response
	From       string `json:"from"`   // instance that sent the message
	IsResponse bool   `json:"answer"` // whether this is a response to a call
	Frame      []byte `json:"frame"`  // encoded wirepb.Frame
}

// Check validates the message.
func (m Message) Check() error {
	var f checker.Validator
	f.Require(m.ID != "", "id", "must not be empty")
	f.Require(m.From != "", "from", "must not be empty")
	return f.Err()
}

// Inbox is the value of an inbox object. It must not be modified.
type Inbox struct {
	Messages []Message `json:"items"`
}

// Check validates the messages.
func (b Inbox) Check() error {
	var f checker.Validator
	for n, m := range b.Messages {
		f.AddNested("items."+strconv.Itoa(n), m.Check())
	}
	return f.Err()
}

// With returns the inbox with one more message. If the inbox is full, the oldest
// messages are dropped.
func (b Inbox) With(m Message) Inbox {
	messages := append(slices.Clone(b.Messages), m)
	return Inbox{Messages: messages[max(0, len(messages)-maxMessages):]}
}

// Without returns the inbox without the handled messages.
func (b Inbox) Without(handled []Message) Inbox {
	return Inbox{Messages: slices.DeleteFunc(slices.Clone(b.Messages), func(m Message) bool {
		return slices.ContainsFunc(handled, func(h Message) bool { return h.ID == m.ID && h.IsResponse == m.IsResponse })
	})}
}
