package settings_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/settings"
)

const validSettings = `listen: 127.0.0.1:7400
region: malabar
regions: [ernakulam, malabar]
failureDomain: malabar-1
platform:
  store: http://127.0.0.1:7500
  members: http://127.0.0.1:7501
`

func TestParse(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Parse("instance.yaml", []byte(validSettings))
	c.Assert(err, qt.IsNil)
	c.Assert(string(s.Region), qt.Equals, "malabar")
	c.Assert(s.Log.Level, qt.Equals, "info")
}

func TestParseFaults(t *testing.T) {
	for _, k := range []struct{ name, data, want string }{
		{"unknown key", validSettings + "rack: 3\n", `instance\.yaml:8: .*rack.*`},
		{"bad unit", validSettings + "stopWithin: 3 parsecs\n", `instance\.yaml:8: .*stopWithin.*`},
		{"missing name", "listen: 127.0.0.1:7400\n", `(?s).*region.*is missing.*failureDomain.*platform\.store.*`},
		{"host name", "listen: localhost:7400\n", `(?s)instance\.yaml:1: .*listen.*IP number.*`},
		{"no memory", validSettings + "memoryMiB: 0\n", `instance\.yaml:8: .*memoryMiB.*`},
		{"few descriptors", validSettings + "maxDescriptors: 255\n", `instance\.yaml:8: .*maxDescriptors.*`},
		{"log level", validSettings + "log: {level: loud}\n", `instance\.yaml:8: .*log\.level.*loud.*`},
	} {
		t.Run(k.name, func(t *testing.T) {
			_, err := settings.Parse("instance.yaml", []byte(k.data))
			qt.Assert(t, err, qt.ErrorMatches, k.want)
		})
	}
}
