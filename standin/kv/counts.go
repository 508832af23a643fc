package kv

// CallKind is the kind of a call to the store.
type CallKind string

// The kinds of call. The revocation of a lease counts as [CallRenew], and a
// transaction that only removes keys as [CallDelete].
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
	CallWatch  CallKind = "watch"
	CallGrant  CallKind = "grant"
	CallRenew  CallKind = "renew"
)

// isWrite reports whether calls of kind c count against the write rate limit.
func (c CallKind) isWrite() bool {
	return c == CallPut || c == CallDelete || c == CallGrant || c == CallRenew
}

// Counts holds the number of calls to a store by kind, including failed calls.
type Counts struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	Watch  uint64 `json:"watch"`
	Grant  uint64 `json:"grant"`
	Renew  uint64 `json:"renew"`
	// Limited counts the calls rejected because a rate limit was exceeded.
	Limited uint64 `json:"limited"`
	// Waiting is the number of watches that wait now, MostWaiting the highest
	// number that waited at once.
	Waiting     int `json:"waiting"`
	MostWaiting int `json:"mostWaiting"`
}

// Total returns the number of calls of all kinds.
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

// Counts returns the counts since the store was created.
func (b *backend) Counts() Counts {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.counts
}
