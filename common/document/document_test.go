package document_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/common/document"
)

type sample struct {
	Name       string              `yaml:"name"`
	Wait       time.Duration       `yaml:"wait"`
	Memory     document.Memory     `yaml:"memory"`
	Processors document.Processors `yaml:"processors"`
	Count      int                 `yaml:"count"`
	Share      float64             `yaml:"share"`
	Open       bool                `yaml:"open"`
	Inner      []struct {
		Name string `yaml:"name"`
	} `yaml:"inner"`
	Maybe *document.Memory `yaml:"maybe"`
}

func ExampleDecode() {
	var s sample
	_, err := document.Decode("sample.yaml", []byte("name: a\nmemroy: 4GiB\n"), &s)
	fmt.Println(err)
	// Output: sample.yaml:2: memroy: is not a known key (did you mean "memory"?)
}

func TestDecode(t *testing.T) {
	c := qt.New(t)
	var s sample
	text := "name: a\nwait: 2s\nmemory: 1.5GiB\nprocessors: 0.5\ncount: 3\nshare: 0.25\nopen: true\ninner:\n- name: b\nmaybe: 1TiB\n"
	d, err := document.Decode("s.yaml", []byte(text), &s)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Wait, qt.Equals, 2*time.Second)
	c.Assert(s.Memory, qt.Equals, document.Memory(1536))
	c.Assert(s.Processors, qt.Equals, document.Processors(500))
	c.Assert(*s.Maybe, qt.Equals, document.Memory(1<<20))
	c.Assert(s.Open && s.Count == 3 && s.Share == 0.25 && s.Inner[0].Name == "b", qt.IsTrue)
	c.Assert(d.Line("inner[0].name"), qt.Equals, 9)
	c.Assert(d.ErrorAt("inner[0].missing", "p", "").Line, qt.Equals, 9)
}

func TestDecodeErrors(t *testing.T) {
	cases := []struct {
		text string
		line int
		want string
	}{
		{"name: a\nname: b", 2, "given twice"},
		{"wait: 2", 1, "not a duration"},
		{"memory: 4GB", 1, "not memory"},
		{"processors: 1.0005m", 1, "not cores"},
		{"processors: -1", 1, "not cores"},
		{"count: 1.5", 1, "whole number"},
		{"share: .nan", 1, "not a number"},
		{"open: yes", 1, "neither true nor false"},
		{"\nname:", 2, "no value"},
		{"name: &a b", 1, "anchors"},
		{"inner: a", 1, "must be a list"},
		{"inner:\n- 3", 2, "must be a mapping"},
		{"name: [a]", 1, "single value"},
		{"a: b\n c: [", 2, ""},
		{"name: a\n---\nname: b", 2, "more than one"},
	}
	for _, k := range cases {
		t.Run(strings.ReplaceAll(k.text, "\n", "/"), func(t *testing.T) {
			c := qt.New(t)
			var s sample
			_, err := document.Decode("s.yaml", []byte(k.text), &s)
			var decodeErr *document.Error
			c.Assert(errors.As(err, &decodeErr), qt.IsTrue)
			c.Assert(decodeErr.File, qt.Equals, "s.yaml")
			c.Assert(decodeErr.Line, qt.Equals, k.line, qt.Commentf("%v", err))
			c.Assert(decodeErr.Error(), qt.Contains, k.want)
		})
	}
}

func TestUnitsRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"0", "2", "500m", "1501m"} {
		var p document.Processors
		c.Assert(p.UnmarshalText([]byte(text)), qt.IsNil)
		back, err := p.MarshalText()
		c.Assert(err, qt.IsNil)
		c.Assert(string(back), qt.Equals, text)
	}
	for _, text := range []string{"0MiB", "512MiB", "4GiB", "3TiB"} {
		var m document.Memory
		c.Assert(m.UnmarshalText([]byte(text)), qt.IsNil)
		back, err := m.MarshalText()
		c.Assert(err, qt.IsNil)
		c.Assert(string(back), qt.Equals, text)
	}
}
