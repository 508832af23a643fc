// Package settings reads and checks the settings of one instance.
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

// Settings are the settings of one instance.
type Settings struct {
	// Listen is the host and port to listen on.
	Listen string `yaml:"listen"`
	// Address is the host and port that peers and callers reach; where it is
	// missing it is the one listened on.
	Address string                 `yaml:"address"`
	Region  lovagestand.RegionName `yaml:"region"`
	// Regions are all regions of the cell, in the same order at all instances.
	Regions       []lovagestand.RegionName  `yaml:"regions"`
	FailureDomain lovagestand.FailureDomain `yaml:"failureDomain"`
	Platform      Platform                  `yaml:"platform"`
	Log           Log                       `yaml:"log"`
	// StopWithin bounds a planned stop.
	StopWithin time.Duration `yaml:"stopWithin"`
}

// Platform tells where the platform's services are.
type Platform struct {
	// Store and Members are base URLs.
	Store   string `yaml:"store"`
	Members string `yaml:"members"`
}

// Log tells what is logged.
type Log struct {
	// Level is one of debug, info, warn and error.
	Level string `yaml:"level"`
}

// defaultStopWithin bounds a planned stop that names no bound.
const defaultStopWithin = 60 * time.Second

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Listen:     "127.0.0.1:7400",
		Log:        Log{Level: "info"},
		StopWithin: defaultStopWithin,
	}
}

// WithListen returns a copy of s that listens on an address.
func (s Settings) WithListen(address string) Settings {
	s.Listen = address
	return s
}

// Level returns the log level.
func (l Log) level() (zerolog.Level, error) {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return zerolog.ParseLevel(l.Level)
	}
	return zerolog.NoLevel, errors.Errorf("unknown level %q", l.Level)
}

// LogLevel returns the level to log at; the settings must have been checked.
func (s Settings) LogLevel() zerolog.Level {
	level, err := s.Log.level()
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

// Read reads a file. It fails with [document.Errors] that name file, line and
// key of every fault.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes and checks settings; file names them in errors.
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

func checkURL(add func(key, problem, hint string), key, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		add(key, "is no http URL", "write it like http://10.0.0.2:7500")
	}
}
