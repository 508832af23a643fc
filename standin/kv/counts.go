package kv

// CallKind is a kind of call to the store.
type CallKind string

// The kinds of call.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
	CallWatch  CallKind = "watch"
	CallGrant  CallKind = "grant"
	CallRenew  CallKind = "renew"
)

// isWrite reports whether c counts against the rate of writes.
func (c CallKind) isWrite() bool {
	return c == CallPut || c == CallDelete || c == CallGrant || c == CallRenew
}

// Counts says how often a store was called, by kind, also in vain.
type Counts struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	Watch  uint64 `json:"watch"`
	Grant  uint64 `json:"grant"`
	Renew  uint64 `json:"renew"`
	// Limited counts the calls turned away because a rate was exceeded.
	Limited uint64 `json:"limited"`
	// Waiting is how many watches wait now, MostWaiting the most there were.
	Waiting     int `json:"waiting"`
	MostWaiting int `json:"mostWaiting"`
}

// Total returns how many calls there were of all kinds.
func (c Counts) Total() uint64 {
	return c.Get + c.List + c.Put + c.Delete + c.Watch + c.Grant + c.Renew
}

func (c *Counts) add(kind CallKind) {
	switch kind {
	case CallGet:
		c.Get++
	case CallList:
		c.List++
	case CallPut:
		c.Put++
	case CallDelete:
		c.Delete++
	case CallWatch:
		c.Watch++
	case CallGrant:
		c.Grant++
	case CallRenew:
		c.Renew++
	}
}

// Counts returns the counts up to now.
func (b *backend) Counts() Counts {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.counts
}
