// Package userfiles writes what the users' platform and its operators write: a
// node's settings file and a version of the configuration. For tests and the soak
// only.
package userfiles

import (
	"encoding/json"
	"fmt"
	"time"
)

// ConfigKey is the store's key of the configuration.
const ConfigKey = "op/config"

// Node is what one node's settings file says.
type Node struct {
	Name, IP, Zone, Region, Service string
	// Target is where the VM's own target is reached; Callers and Ready are the
	// node's own addresses.
	Target, Callers, Ready string
	PeerPort               int
	Store                  string
	Zones                  map[string]string
	Bounds                 Bounds
}

// Bounds are the promises' figures that a node is told.
type Bounds struct {
	Grace      time.Duration
	RetryRatio float64
	RetrySlack float64
}

type object map[string]any

// Settings returns the settings file.
func (n *Node) Settings() ([]byte, error) {
	return json.Marshal(object{
		"Self": object{
			"Node": n.Name, "Role": "tamarackd", "Ip": n.IP, "Zone": n.Zone, "Region": n.Region,
			"Limits": object{"LinkMbps": 0}, "AppAddr": n.Target, "Service": n.Service,
		},
		"Network": object{
			"Listen": object{"Outbound": n.Callers, "Ready": n.Ready}, "InternalPorts": []int{n.PeerPort, n.PeerPort + 1},
			"Zones": n.Zones,
		},
		"Platform": object{"Platform": object{"Address": n.Store}},
		"Terms": object{"Bounds": object{
			"Grace": n.Bounds.Grace.String(), "RetryBudgetRatio": n.Bounds.RetryRatio, "BudgetSlack": n.Bounds.RetrySlack,
		}},
	})
}

// Route is one route of a configuration.
type Route struct {
	Name, Prefix, Service string
	// Repeatable routes may run a request more than once.
	Repeatable  bool
	Timeout     time.Duration
	MaxAttempts int
}

// Host is that of all routes.
const Host = "mesh.example"

// Config returns a version of the configuration.
func Config(version uint64, routes []Route, services []string) ([]byte, error) {
	kinds := map[bool]string{true: "safe", false: "unsafe"}
	written := []object{}
	for _, route := range routes {
		written = append(written, object{
			"Name": route.Name, "Host": Host, "PathPrefix": route.Prefix, "Kind": kinds[route.Repeatable],
			"Timeout": route.Timeout.String(), "TargetLatency": (route.Timeout / 4).String(), "Priority": 1,
			"Service": route.Service, "MaxAttempts": route.MaxAttempts,
		})
	}
	named := []object{}
	for _, service := range services {
		named = append(named, object{"Name": service, "HealthPath": "/health", "MaxConnections": 100})
	}
	return json.Marshal(object{
		"Version": fmt.Sprintf("%08x", version), "Routes": written, "Services": named,
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
}
