package main

import (
	_ "embed"
	"fmt"
)

// What the operator and the servers write into the store, as templates.
var (
	//go:embed desk.json
	deskConfig string
	//go:embed verse.json
	verseConfig string
	//go:embed server.json
	serverEntry string
	// instanceHeader names the only server that may run a request.
	//go:embed instance-header.txt
	instanceHeader string
)

// putDeskConfig writes a version of the configuration with routes to the plain service.
func (f *fleet) putDeskConfig(version int) {
	f.store.PutRaw("config", "main", fmt.Sprintf(deskConfig, version))
}

// putServer writes the entry of a server.
func (f *fleet) putServer(id, service, address, zone string, slots int, state string, born int64) {
	f.store.PutRaw("servers", id, fmt.Sprintf(serverEntry, service, address, zone, slots, state, born))
}
