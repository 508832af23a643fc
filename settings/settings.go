// Package settings reads and checks the settings of an instance.
package settings

import (
	"net"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
)

// Settings holds the settings of an instance that the command "serve" runs.
type Settings struct {
	// Listen is the host and port to listen on.
	Listen string `yaml:"listen"`
	// Address is the host and port at which peers and callers reach the
	// instance. If it is empty, the address that the instance listens on is used.
	Address string                 `yaml:"address"`
	Region  lovagestand.RegionName `yaml:"region"`
	// Regions are all regions of the cell, in the same order in all instances.
	Regions       []lovagestand.RegionName  `yaml:"regions"`
	FailureDomain lovagestand.FailureDomain `yaml:"failureDomain"`
	Platform      Platform                  `yaml:"platform"`
	Log           Log                       `yaml:"log"`
	// StopWithin is the maximum duration of a planned stop.
	StopWithin time.Duration `yaml:"stopWithin"`
	// MemoryMiB is the memory that the process may use, in MiB.
	MemoryMiB int64 `yaml:"memoryMiB"`
	// MaxDescriptors is the number of file descriptors that the process may use; 0 for
	// the limit that the operating system sets.
	MaxDescriptors int `yaml:"maxDescriptors"`
}

// Platform holds the locations of the platform's services.
type Platform struct {
	// Store and Members are the base URLs of the key-value store and of the
	// member list.
	Store   string `yaml:"store"`
	Members string `yaml:"members"`
}

// Log holds the settings of the log.
type Log struct {
	// Level is one of debug, info, warn and error.
	Level string `yaml:"level"`
}

const (
	// defaultStopWithin is the default of [Settings.StopWithin].
	defaultStopWithin = 60 * time.Second
	// defaultMemoryMiB is the default of [Settings.MemoryMiB].
	defaultMemoryMiB = 1024
)

// Default returns the defaults, which apply to all keys that a file does not set.
func Default() Settings {
	return Settings{
		Listen:     "127.0.0.1:7400",
		Log:        Log{Level: "info"},
		StopWithin: defaultStopWithin,
		MemoryMiB:  defaultMemoryMiB,
	}
}

// WithListen returns a copy of s that listens on the given address.
func (s Settings) WithListen(address string) Settings {
	s.Listen = address
	return s
}

// level parses the log level.
func (l Log) level() (zerolog.Level, error) {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return zerolog.ParseLevel(l.Level)
	}
	return zerolog.NoLevel, errors.Errorf("unknown level %q", l.Level)
}

// LogLevel returns the log level. If the setting is invalid, it returns
// [zerolog.InfoLevel].
func (s Settings) LogLevel() zerolog.Level {
	level, err := s.Log.level()
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

// Read reads and checks a file of settings. If settings are invalid, it fails with
// [document.Errors], which give the file, line and key of each error.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes and checks settings. The parameter file is the name of the file
// that errors give.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	d, err := document.Decode(file, data, &s)
	if err != nil {
		return Settings{}, err
	}
	var errs document.Errors
	add := func(key, problem, hint string) {
		errs = append(errs, d.ErrorAt(key, problem, hint))
	}
	s.check(add)
	if err := errs.ErrorOrNil(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func (s Settings) check(add func(key, problem, hint string)) {
	checkAddress(add, "listen", s.Listen)
	if s.Address != "" {
		checkAddress(add, "address", s.Address)
	}
	if s.Region == "" {
		add("region", "is missing", "name the region this instance runs in")
	}
	if s.FailureDomain == "" {
		add("failureDomain", "is missing", "name the failure domain this instance runs in")
	}
	if !slices.Contains(s.Regions, s.Region) {
		add("regions", "does not have the instance's own region", "list all regions of the cell, the same everywhere")
	}
	checkURL(add, "platform.store", s.Platform.Store)
	checkURL(add, "platform.members", s.Platform.Members)
	if _, err := s.Log.level(); err != nil {
		add("log.level", err.Error(), "use debug, info, warn or error")
	}
	if s.StopWithin <= 0 {
		add("stopWithin", "must be more than 0", "")
	}
	if s.MemoryMiB <= 0 {
		add("memoryMiB", "must be more than 0", "")
	}
	checkMaxDescriptors(add, s.MaxDescriptors)
}

func checkAddress(add func(key, problem, hint string), key, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		add(key, "is no host and port", "write it like 10.0.0.5:7400")
		return
	}
	if net.ParseIP(host) == nil {
		add(key, "has a host that is no IP number", "write it like 10.0.0.5:7400")
	}
}

// checkMaxDescriptors checks a number of descriptors, which is 0 if it is not set.
func checkMaxDescriptors(add func(key, problem, hint string), n int) {
	if n != 0 && n < minDescriptors {
		add("maxDescriptors", "is too low", "give at least 256, or leave it out")
	}
}

func checkURL(add func(key, problem, hint string), key, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		add(key, "is no http URL", "write it like http://10.0.0.2:7500")
	}
}
