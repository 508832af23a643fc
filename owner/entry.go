package owner

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
)

// KeyPrefix is the prefix of the store keys that hold documents. The name of the
// region follows it.
const KeyPrefix = "owners/"

// DocumentKey returns the store key of a region's document.
func DocumentKey(region lovagestand.RegionName) string {
	return KeyPrefix + string(region)
}

// Entry names the owner and the standbys of a shard in one epoch.
type Entry struct {
	Shard    lovagestand.ShardName    `json:"shard"`
	Region   lovagestand.RegionName   `json:"-"`
	Epoch    lovagestand.Epoch        `json:"epoch"`
	Owner    lovagestand.InstanceID   `json:"owner"`
	Standbys []lovagestand.InstanceID `json:"standbys"`
	// Settled indicates that every start of the previous owner has been
	// answered, so the owner may place tasks without waiting for them.
	Settled bool `json:"settled,omitempty"`
}

// HasStandby reports whether an instance is one of the standbys.
func (e Entry) HasStandby(id lovagestand.InstanceID) bool {
	return slices.Contains(e.Standbys, id)
}

// unstoredEpochs is larger than the number of epochs that the owner and the
// standbys of a shard can begin by handovers without the store.
const unstoredEpochs = 16

// skipUnstoredEpochs returns e with an epoch that is later than any that its owner
// and its standbys may have begun without the store before they died.
func (e Entry) skipUnstoredEpochs() Entry {
	e.Epoch += unstoredEpochs
	return e
}

// Next returns the entry of the next epoch.
func (e Entry) Next(owner lovagestand.InstanceID, standbys []lovagestand.InstanceID, settled bool) Entry {
	e.Epoch++
	e.Owner = owner
	e.Standbys = standbys
	e.Settled = settled
	return e
}

// Document holds the entries of one region as the store has them. It is immutable.
type Document struct {
	Region lovagestand.RegionName `json:"region"`
	// Entries are sorted by shard.
	Entries []Entry `json:"entries"`
}

// ParseDocument decodes the document of a region. If data is empty, it returns an
// empty document.
func ParseDocument(region lovagestand.RegionName, data []byte) (Document, error) {
	d := Document{Region: region}
	if len(data) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return d, errors.Wrapf(err, "decode the owners of region %q", region)
	}
	for i := range d.Entries {
		d.Entries[i].Region = region
	}
	return d, nil
}

// Encode returns the document in the encoding of the store.
func (d Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrapf(err, "encode the owners of region %q", d.Region)
}

// Entry returns the entry of a shard, and false if the document has none.
func (d Document) Entry(shard lovagestand.ShardName) (Entry, bool) {
	i, found := d.find(shard)
	if !found {
		return Entry{}, false
	}
	return d.Entries[i], true
}

// With returns a copy of d in which the given entries replace the entries of their
// shards.
func (d Document) With(entries ...Entry) Document {
	d.Entries = slices.Clone(d.Entries)
	for _, e := range entries {
		e.Region = d.Region
		i, found := d.find(e.Shard)
		if found {
			d.Entries[i] = e
			continue
		}
		d.Entries = slices.Insert(d.Entries, i, e)
	}
	return d
}

func (d Document) find(shard lovagestand.ShardName) (int, bool) {
	return slices.BinarySearchFunc(d.Entries, shard, func(e Entry, s lovagestand.ShardName) int {
		return strings.Compare(string(e.Shard), string(s))
	})
}
