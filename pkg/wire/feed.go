package wire

import "time"

// FeedSubscribe asks a VM for what it learns from the platform's store.
type FeedSubscribe struct {
	// VM is the name of the subscriber.
	VM string `msgpack:"vm"`
	// Any accepts a VM that does not follow the store, or has lost it. It is for
	// a VM that knows nothing yet and asks once.
	Any bool `msgpack:"any"`
}

// FeedUpdate carries changes to a subscriber. The first one holds all objects.
// One without topics only tells how fresh the sender's knowledge is.
type FeedUpdate struct {
	// Away tells that the store does not answer the sender.
	Away bool `msgpack:"away"`
	// Verified is the time since the store last confirmed the topics whose
	// changes are urgent.
	Verified time.Duration `msgpack:"verified"`
	Topics   []FeedTopic   `msgpack:"topics"`
}

// FeedTopic holds objects of one kind as of one revision of the store.
type FeedTopic struct {
	Name string `msgpack:"name"`
	// Full tells that objects that are not listed do not exist.
	Full     bool       `msgpack:"full"`
	Revision int64      `msgpack:"revision"`
	Items    []FeedItem `msgpack:"items"`
}

// FeedItem is one object.
type FeedItem struct {
	Name     string `msgpack:"name"`
	Revision int64  `msgpack:"revision"`
	// Gone tells that the object was removed or cannot be read.
	Gone bool `msgpack:"gone"`
	// Value is the encoded object of the topic's type.
	Value []byte `msgpack:"value"`
}

// Kind implements Message.
func (*FeedSubscribe) Kind() Kind { return KindFeedSubscribe }

// Kind implements Message.
func (*FeedUpdate) Kind() Kind { return KindFeedUpdate }
