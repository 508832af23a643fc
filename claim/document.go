package claim

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// head is the one document of a home that is changed in place. Every grant is
// a compare-and-swap of it, so an owner that has been replaced grants nothing.
// It is never deleted: its revisions must not start again.
type head struct {
	Epoch lovagestand.Epoch `json:"epoch"`
	// Token names the write that produced the document.
	Token    string    `json:"token"`
	Archives []archive `json:"archives"`
	Claims   []Claim   `json:"claims"`
}

// archive refers to a document of older claims that is written once, before
// the head names it, and deleted after the head no longer does.
type archive struct {
	Key string `json:"key"`
	// Until is when the claims in it have expired or are to be carried over.
	Until    time.Time            `json:"until"`
	Revision lovagestand.Revision `json:"revision"`
}

// archiveContent is the content of an archive.
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

func decodeHead(v lovagestand.Value) (head, error) {
	var d head
	if v.Revision == 0 {
		return d, nil
	}
	err := json.Unmarshal(v.Data, &d)
	return d, errors.Wrapf(err, "decode %s", v.Key)
}

// decodeContents returns the head among the documents of a home, its revision, the
// claims in order of age, and the archives that the head does not name.
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

// contents is all that the store holds of a home.
type contents struct {
	revision lovagestand.Revision
	head     head
	// archivedClaims are the claims of each of head.Archives.
	archivedClaims [][]Claim
	orphans        []archive
}
