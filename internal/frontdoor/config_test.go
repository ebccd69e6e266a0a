package frontdoor

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The fields of a valid configuration must have the values and units of its file.
func TestParseConfig(t *testing.T) {
	config := newTestConfig(t)
	if config.Seed != 0x8c1f30d27a5be964 || config.SavedList.Version != 41 ||
		config.Connections.IdleTimeout != 15*time.Second ||
		config.Connections.ConnectTimeout != 250*time.Millisecond || len(config.Settings.Classes) != 2 ||
		config.Limits.Sockets != 1024 {
		t.Errorf("got %+v, want the values of testConfigJSON", config)
	}
}

// An invalid configuration must be rejected with an error of one line. The gateway must not run with defaults instead.
func TestInvalidConfigIsRejected(t *testing.T) {
	for name, change := range map[string][2]string{
		"not JSON":       {"{", "["},
		"no address":     {`"listen":"127.0.0.1:0",`, ""},
		"no discovery":   {`"discovery":"127.0.0.1:1",`, ""},
		"seed not hex":   {"8c1f30d27a5be964", "xyz"},
		"no limits":      {`"sockets":1024`, `"sockets":0`},
		"no settings":    {`"settings":{`, `"other":{`},
		"no classes":     {`"lanes":`, `"lines":`},
		"unknown effect": {`"dedup"`, `"maybe"`},
		"no idle time":   {`"conn_idle_us":15000000,`, ""},
	} {
		if _, err := parseConfig([]byte(strings.Replace(testConfigJSON, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: got no error, want one", name)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %q, want one of a single line", name, err)
		}
	}
	for _, path := range []string{"", filepath.Join(t.TempDir(), "none.json")} {
		if _, err := LoadConfig(path); err == nil {
			t.Errorf("path %q: got no error, want one", path)
		}
	}
}
