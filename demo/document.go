package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/gooseberryshed/gooseberryshed/config"
)

// Names in the configuration of the demo.
const (
	serviceMenus  = "menus"
	serviceOrders = "orders"
	pathMenus     = "/menus"
	pathOrders    = "/orders"
)

const (
	dataCentres        = 3
	hostsPerDataCentre = 2
	targetsPerHost     = 2
	workspaceRate      = config.Rate(200)
	workspaceBurst     = 200
)

var workspaces = []string{"parish-1", "parish-2", "funeral-home-3"}

func dataCentreName(i int) string { return fmt.Sprintf("central-%d", i+1) }

// secret returns the API key of a workspace. In production, keys are created by the
// command key grant.
func secret(workspace string) string { return "demo-secret-of-" + workspace }

// document returns the configuration: menus are accessible without a key, orders
// require one.
func document() []config.Section {
	places := config.Section{Name: "places", Team: "platform"}
	for i := range dataCentres {
		places.DataCentres = append(places.DataCentres, config.DataCentre{Name: dataCentreName(i), Region: "sk-central"})
	}
	trays := config.Section{
		Name:     "trays",
		Team:     "trays",
		Services: []config.Service{{Name: serviceMenus}, {Name: serviceOrders, Floor: ordersFloor}},
		Routes: []config.Route{
			{Path: pathMenus, Service: serviceMenus, Access: config.AccessOpen},
			{Path: pathOrders, Service: serviceOrders},
		},
	}
	for _, name := range workspaces {
		sum := sha256.Sum256([]byte(secret(name)))
		trays.Workspaces = append(trays.Workspaces, config.Workspace{
			Name:  name,
			Rate:  workspaceRate,
			Burst: workspaceBurst,
			Keys:  []config.Key{{ID: name + "-a", SHA256: hex.EncodeToString(sum[:])}},
		})
	}
	return []config.Section{places, trays}
}

// ordersFloor is the fraction of the targets of the orders service that stay in use in
// spite of ejections.
const ordersFloor = 0.5
