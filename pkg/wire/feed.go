package wire

import "time"

// FeedSubscribe asks a VM to forward the changes that it learns from the
// platform's object store.
type FeedSubscribe struct {
	// VM is the name of the subscriber.
	VM string `msgpack:"vm"`
	// AcceptStale accepts a peer that does not watch the store itself or that
	// the store no longer answers. A VM without any knowledge sets it to read
	// the feed once.
	AcceptStale bool `msgpack:"any"`
}

// FeedUpdate carries changes to a subscriber. The first update holds all
// objects. An update without topics only reports how fresh the sender's
// knowledge is.
type FeedUpdate struct {
	// StoreUnreachable is set if the store does not answer the sender.
	StoreUnreachable bool `msgpack:"away"`
	// SinceVerified is the time since the store last confirmed the topics whose
	// changes are urgent.
	SinceVerified time.Duration `msgpack:"verified"`
	Topics        []FeedTopic   `msgpack:"topics"`
}

// FeedTopic holds objects of one kind as of one revision of the store.
type FeedTopic struct {
	Name string `msgpack:"name"`
	// Full is set if Items lists every object of the kind, so that any other
	// object does not exist.
	Full     bool  `msgpack:"full"`
	Revision int64 `msgpack:"revision"`
	// Era is the era of the store that gave the revision. VMs of older versions do not
	// send it.
	Era   int64      `msgpack:"era"`
	Items []FeedItem `msgpack:"items"`
}

// FeedItem is the state of one object.
type FeedItem struct {
	Name     string `msgpack:"name"`
	Revision int64  `msgpack:"revision"`
	// Gone is set if the object was removed or cannot be decoded.
	Gone bool `msgpack:"gone"`
	// Value is the encoded object; its type depends on the topic.
	Value []byte `msgpack:"value"`
}

// Kind implements Message.
func (*FeedSubscribe) Kind() Kind { return KindFeedSubscribe }

// Kind implements Message.
func (*FeedUpdate) Kind() Kind { return KindFeedUpdate }
