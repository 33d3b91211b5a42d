// Package userfiles generates the files of the users' platform and its operators, for
// tests and the soak only: the settings file of a node and a version of the
// configuration.
package userfiles

import (
	"encoding/json"
	"fmt"
	"time"
)

// ConfigKey is the key of the configuration in the store.
const ConfigKey = "op/config"

// Node has the values of one node's settings file.
type Node struct {
	Name, IP, Zone, Region, Service string
	// Target is the address of the local target. Callers and Ready are the
	// addresses at which the node listens.
	Target, Callers, Ready string
	PeerPort               int
	Store                  string
	Zones                  map[string]string
	Bounds                 Bounds
	Limits                 Limits
}

// Limits are what the platform grants the process; 0 where it sets no limit.
type Limits struct {
	// MemoryMb is in megabytes, MaxFds in descriptors.
	MemoryMb, MaxFds int
}

// Bounds are the limits in a node's settings.
type Bounds struct {
	StopGrace  time.Duration
	RetryRatio float64
	RetrySlack float64
}

type object map[string]any

// Settings returns the content of the settings file.
func (n *Node) Settings() ([]byte, error) {
	return json.Marshal(object{
		"Self": object{
			"Node": n.Name, "Role": "tamarackd", "Ip": n.IP, "Zone": n.Zone, "Region": n.Region,
			"Limits": object{"LinkMbps": 0, "MemoryMb": n.Limits.MemoryMb, "MaxFds": n.Limits.MaxFds}, "AppAddr": n.Target, "Service": n.Service,
		},
		"Network": object{
			"Listen": object{"Outbound": n.Callers, "Ready": n.Ready}, "InternalPorts": []int{n.PeerPort, n.PeerPort + 1},
			"Zones": n.Zones,
		},
		"Platform": object{"Platform": object{"Address": n.Store}},
		"Terms": object{"Bounds": object{
			"Grace": n.Bounds.StopGrace.String(), "RetryBudgetRatio": n.Bounds.RetryRatio, "BudgetSlack": n.Bounds.RetrySlack,
		}},
	})
}

// Route is one route of a configuration.
type Route struct {
	Name, Prefix, Service string
	// Idempotent is set if requests of the route may run more than once.
	Idempotent  bool
	Timeout     time.Duration
	MaxAttempts int
}

// Host is the host of all routes.
const Host = "mesh.example"

// Config returns a version of the configuration.
func Config(version uint64, routes []Route, services []string) ([]byte, error) {
	kinds := map[bool]string{true: "safe", false: "unsafe"}
	routeObjects := []object{}
	for _, route := range routes {
		routeObjects = append(routeObjects, object{
			"Name": route.Name, "Host": Host, "PathPrefix": route.Prefix, "Kind": kinds[route.Idempotent],
			"Timeout": route.Timeout.String(), "TargetLatency": (route.Timeout / 4).String(), "Priority": 1,
			"Service": route.Service, "MaxAttempts": route.MaxAttempts,
		})
	}
	serviceObjects := []object{}
	for _, service := range services {
		serviceObjects = append(serviceObjects, object{"Name": service, "HealthPath": "/health", "MaxConnections": 100})
	}
	return json.Marshal(object{
		"Version": fmt.Sprintf("%08x", version), "Routes": routeObjects, "Services": serviceObjects,
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
}
