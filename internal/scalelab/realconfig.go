package scalelab

import (
	"fmt"
	"os"
	"path/filepath"

	"herontiller/internal/frontdoor"
)

// maxGatewaySockets is the limit on sockets in the configuration of a real gateway.
const maxGatewaySockets = 8192

// loadRealConfig writes the settings to a temporary configuration file and loads it with the gateway's own loader, so
// that the cost and the checks of the real program apply.
func loadRealConfig(settings Settings, discoveryAddress string) (frontdoor.Config, error) {
	directory, err := os.MkdirTemp("", "scalelab")
	if err != nil {
		return frontdoor.Config{}, err
	}
	defer os.RemoveAll(directory)
	path := filepath.Join(directory, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",`+
		`"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"seq":0,"whole":true,"hosts":[]},"settings":%s}`,
		discoveryAddress, maxGatewaySockets, encodeSettings(settings))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return frontdoor.Config{}, err
	}
	return frontdoor.LoadConfig(path)
}
