package claim

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// head is the only document of a partition that is changed in place. Every grant
// is a compare-and-swap of the head, so an owner that has been replaced can grant
// nothing. The head is never deleted, because its revisions must not start again.
type head struct {
	Epoch lovagestand.Epoch `json:"epoch"`
	// Token identifies the write that produced the document.
	Token    string    `json:"token"`
	Archives []archive `json:"archives"`
	Claims   []Claim   `json:"claims"`
}

// archive refers to a document with older claims. The document is written once,
// before the head lists it, and deleted after the head no longer lists it.
type archive struct {
	Key string `json:"key"`
	// Until is when the archive is due to be dropped. The claims in it have
	// expired by then or are carried over to the head.
	Until    time.Time            `json:"until"`
	Revision lovagestand.Revision `json:"revision"`
}

// archiveContent is the document that an [archive] refers to.
type archiveContent struct {
	Claims []Claim `json:"claims"`
}

func headKey(partition lovagestand.ShardName) string {
	return string(partition) + "/head"
}

func encode(document any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(document)
	return b.Bytes(), errors.Wrap(err, "encode claims")
}

// decodeHead decodes a head. It returns an empty head if the key does not exist.
func decodeHead(v lovagestand.Value) (head, error) {
	var d head
	if v.Revision == 0 {
		return d, nil
	}
	err := json.Unmarshal(v.Data, &d)
	return d, errors.Wrapf(err, "decode %s", v.Key)
}

// decodeContents decodes the documents of a partition.
func decodeContents(partition lovagestand.ShardName, values []lovagestand.Value) (contents, error) {
	byKey := make(map[string]lovagestand.Value, len(values))
	for _, v := range values {
		if strings.HasPrefix(v.Key, string(partition)+"/") {
			byKey[v.Key] = v
		}
	}
	var c contents
	var err error
	v := byKey[headKey(partition)]
	delete(byKey, headKey(partition))
	c.revision = v.Revision
	c.head, err = decodeHead(v)
	if err != nil {
		return c, err
	}
	for _, a := range c.head.Archives {
		var d archiveContent
		err = json.Unmarshal(byKey[a.Key].Data, &d)
		if err != nil {
			return c, errors.Wrapf(err, "decode %s", a.Key)
		}
		c.archivedClaims = append(c.archivedClaims, d.Claims)
		delete(byKey, a.Key)
	}
	for key, v := range byKey {
		c.orphans = append(c.orphans, archive{Key: key, Revision: v.Revision})
	}
	return c, nil
}

// contents is everything that the store contains of a partition.
type contents struct {
	// revision is the revision of the head.
	revision lovagestand.Revision
	head     head
	// archivedClaims contains the claims of each of head.Archives, oldest
	// archive first.
	archivedClaims [][]Claim
	// orphans are the archives that the head does not list.
	orphans []archive
}
