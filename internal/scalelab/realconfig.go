package scalelab

import (
	"fmt"
	"os"
	"path/filepath"

	"herontiller/internal/frontdoor"
)

// gatewaySockets is how many descriptors a real gateway of the lab may use.
const gatewaySockets = 8192

// realConfig lets the real program's code read a configuration file of the settings.
func realConfig(settings Settings, discovery string) (frontdoor.Config, error) {
	folder, err := os.MkdirTemp("", "scalelab")
	if err != nil {
		return frontdoor.Config{}, err
	}
	defer os.RemoveAll(folder)
	path := filepath.Join(folder, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",`+
		`"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"seq":0,"whole":true,"hosts":[]},"settings":%s}`,
		discovery, gatewaySockets, settingsText(settings))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return frontdoor.Config{}, err
	}
	return frontdoor.LoadConfig(path)
}
