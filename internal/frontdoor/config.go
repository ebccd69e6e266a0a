// Package frontdoor runs one gateway of package gateway on real sockets: it accepts clients' requests over HTTP/1.1,
// executes the gateway's decisions at the backends and watches discovery. It makes no policy decisions itself.
//
//   - config.go reads the configuration, limits.go derives limits of connections and memory from it;
//   - loop.go owns the gateway, passes it events and executes its actions;
//   - clients.go serves clients, requests.go validates their requests, rejections.go answers those that are not served;
//   - conns.go accepts clients' connections, clientconn.go and readahead.go read from them, conntable.go limits them;
//   - headmeter.go estimates the memory of heads;
//   - backends.go sends attempts, forwarded.go encodes them, responses.go reads the responses, surplus.go checks what follows them, pool.go limits and
//     reuses the connections;
//   - discovery.go keeps the list of backends up to date, lists.go parses it, lease.go limits its use, pace.go determines
//     timeouts and backoff.
package frontdoor

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"herontiller/internal/gateway"
	"herontiller/internal/wire"
)

// Config is the configuration of one gateway.
type Config struct {
	Name        string
	Listen      string // address on which clients are served
	Discovery   string // address of the discovery service or agent
	Seed        uint64 // of the gateway's random decisions
	Limits      Limits
	SavedList   EndpointList // the last list of backends that an earlier process of this gateway received
	Settings    gateway.Settings
	Connections wire.ConnectionSettings
}

// LoadConfig reads and validates the configuration file at path, which the environment variable NODE_CONFIG names.
// Errors include the path.
func LoadConfig(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("the environment variable NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read the configuration: %w", err)
	}
	config, err := parseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("invalid configuration %s: %w", path, err)
	}
	return config, nil
}

// parseConfig parses and validates the text of a configuration file.
func parseConfig(text []byte) (Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     EndpointList    `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, err
	}
	if file.Listen == "" || file.Discovery == "" {
		return Config{}, errors.New(`"listen" or "discovery" is missing`)
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf(`"seed" is not a 64-bit hexadecimal number: %w`, err)
	}
	if l := file.Limits; l.Cores <= 0 || l.MemoryMB <= 0 || l.Sockets <= 0 {
		return Config{}, fmt.Errorf(`"limits" must all be above 0, but are %+v`, l)
	}
	if len(file.Settings) == 0 {
		return Config{}, errors.New(`"settings" is missing`)
	}
	settings, connections, err := wire.DecodeSettings(file.Settings)
	if err != nil {
		return Config{}, err
	}
	if err := settings.Validate(); err != nil {
		return Config{}, err
	}
	if connections.IdleTimeout <= 0 || connections.ConnectTimeout <= 0 {
		return Config{}, errors.New(`"conn_idle_us" and "connect_timeout_us" in the settings must be above 0`)
	}
	return Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Seed: seed,
		Limits: file.Limits, SavedList: file.Known, Settings: settings, Connections: connections}, nil
}
