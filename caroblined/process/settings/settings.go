// Package settings reads and validates a daemon's settings file. It rejects
// unknown fields and invalid values with an error that names the field, the value
// and what is allowed.
//
// # Usage
//
//	nodeSettings, err := settings.Load(path)
package settings

import (
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/field"
	"carobline.dev/core/id"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/step"
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	Node       id.Node       `json:"node"`
	DataCentre id.DataCentre `json:"data_centre"`
	Listen     Listen        `json:"listen"`
	// DataFolder holds the voter's write-ahead log and must be on a disk. It is
	// set on voters only.
	DataFolder string `json:"data_folder,omitempty"`
	// Peers lists all nodes, including this one.
	Peers []Peer `json:"peers"`
	// Models lists how each model is served.
	Models []placer.Spec `json:"models"`
	// MaxLoadingGroups bounds the groups that load weights at the same time.
	MaxLoadingGroups int         `json:"group_loads"`
	Credentials      Credentials `json:"credentials"`
	TLS              TLS         `json:"tls,omitzero"`
	Limits           Limits      `json:"limits,omitzero"`
	// RouterOff makes the node refuse callers, on a host that is reserved for
	// control.
	RouterOff bool   `json:"router_off,omitempty"`
	LogLevel  string `json:"log_level,omitempty"`
}

// Listen holds the addresses of the four interfaces.
type Listen struct {
	Callers   string `json:"callers"`
	Hosts     string `json:"hosts"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Peer is one node of the system.
type Peer struct {
	Node    id.Node `json:"node"`
	Address string  `json:"address"`
	// Voter is set on the nodes with a data folder.
	Voter bool `json:"voter,omitempty"`
}

// Credentials give access to the interfaces other than that of callers.
type Credentials struct {
	Operators  []rest.Credential `json:"operators"`
	Announcers []rest.Credential `json:"announcers"`
	// PeerTokenFile holds the token that nodes authenticate to each other with.
	PeerTokenFile string `json:"peer_token_file"`
	// OrderTokenFile holds the token that orders to engines carry.
	OrderTokenFile string `json:"order_token_file"`
}

// TLS holds the certificate files of each listener; an empty KeyPair means plain
// TCP.
type TLS struct {
	Callers   KeyPair `json:"callers,omitzero"`
	Hosts     KeyPair `json:"hosts,omitzero"`
	Operators KeyPair `json:"operators,omitzero"`
	Peers     KeyPair `json:"peers,omitzero"`
	// PeerAuthorityFile holds the CA certificates that verify peers.
	PeerAuthorityFile string `json:"peer_authority_file,omitempty"`
}

// KeyPair holds the paths of a certificate and its private key.
type KeyPair struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// Limits bound the resources that one caller can use.
type Limits struct {
	BodyBytes   int64 `json:"body_bytes,omitempty"`
	HeaderBytes int   `json:"header_bytes,omitempty"`
	Connections int   `json:"connections,omitempty"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// InactivityTimeoutMS is how long an endpoint may send nothing before another one is
	// looked for, and before a call to an endpoint that is lost is broken off, in milliseconds.
	InactivityTimeoutMS int64 `json:"silence_ms,omitempty"`
	// CallerWriteTimeoutMS bounds one write to a caller, in milliseconds.
	CallerWriteTimeoutMS int64 `json:"caller_stall_ms,omitempty"`
}

// minMemoryMB is the least memory with which a process holds one large answer and its own state.
const minMemoryMB = 64

var nameRegexp = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings, err := Parse(data)
	return settings, step.Wrap(err, "settings %s", path)
}

// Parse decodes and validates the text of a settings file.
func Parse(data []byte) (Settings, error) {
	settings, err := rest.Decode[Settings](data)
	if err != nil {
		return Settings{}, err
	}
	settings.applyDefaults()
	return settings, settings.validate()
}

// applyDefaults fills in fields that have a default. A zero or empty value counts
// as not given.
func (settings *Settings) applyDefaults() {
	limits := &settings.Limits
	setDefault(&limits.BodyBytes, 4<<20)
	setDefault(&limits.HeaderBytes, 64<<10)
	setDefault(&limits.Connections, 10_000)
	setDefault(&limits.MemoryMB, 1024)
	setDefault(&limits.InactivityTimeoutMS, 30_000)
	setDefault(&limits.CallerWriteTimeoutMS, 30_000)
	setDefault(&settings.MaxLoadingGroups, 4)
	setDefault(&settings.LogLevel, "info")
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// check is the result of one check of a field.
type check struct {
	ok      bool
	name    string
	value   any
	allowed string
}

func (settings *Settings) validate() error {
	const address = "an IP address and a port"
	checks := []check{
		{nameRegexp.MatchString(string(settings.Node)), "node", settings.Node, "1 to 63 of a-z, 0-9, '.', '_' and '-'"},
		{settings.DataCentre != "", "data_centre", settings.DataCentre, "a name"},
		{validAddress(settings.Listen.Callers), "listen.callers", settings.Listen.Callers, address},
		{validAddress(settings.Listen.Hosts), "listen.hosts", settings.Listen.Hosts, address},
		{validAddress(settings.Listen.Operators), "listen.operators", settings.Listen.Operators, address},
		{validAddress(settings.Listen.Peers), "listen.peers", settings.Listen.Peers, address},
		{settings.MaxLoadingGroups > 0, "group_loads", settings.MaxLoadingGroups, "1 or more"},
		{len(settings.Credentials.Operators) > 0, "credentials.operators", settings.Credentials.Operators, "at least one"},
		{len(settings.Credentials.Announcers) > 0, "credentials.announcers", settings.Credentials.Announcers, "at least one"},
		{settings.Credentials.PeerTokenFile != "", "credentials.peer_token_file", "", "the path of a file"},
		{settings.Credentials.OrderTokenFile != "", "credentials.order_token_file", "", "the path of a file"},
		{settings.Limits.BodyBytes > 0, "limits.body_bytes", settings.Limits.BodyBytes, "more than 0"},
		{settings.Limits.HeaderBytes >= 4096, "limits.header_bytes", settings.Limits.HeaderBytes, "4096 or more"},
		{settings.Limits.Connections > 0, "limits.connections", settings.Limits.Connections, "more than 0"},
		{settings.Limits.MemoryMB >= minMemoryMB, "limits.memory_mb", settings.Limits.MemoryMB, "64 or more"},
		{settings.Limits.InactivityTimeoutMS > 0, "limits.silence_ms", settings.Limits.InactivityTimeoutMS, "more than 0"},
		{settings.Limits.CallerWriteTimeoutMS > 0, "limits.caller_stall_ms", settings.Limits.CallerWriteTimeoutMS, "more than 0"},
	}
	checks = append(checks, settings.peerChecks()...)
	checks = append(checks, settings.modelChecks()...)
	checks = append(checks, settings.credentialChecks()...)
	checks = append(checks, settings.tlsChecks()...)
	for _, check := range checks {
		if !check.ok {
			return &field.Error{Name: check.name, Value: check.value, Allowed: check.allowed}
		}
	}
	return nil
}

func (settings *Settings) peerChecks() []check {
	var checks []check
	listedNodes := map[id.Node]bool{}
	voters := 0
	for index, peer := range settings.Peers {
		name := "peers[" + strconv.Itoa(index) + "]"
		checks = append(
			checks,
			check{nameRegexp.MatchString(string(peer.Node)), name + ".node", peer.Node, "1 to 63 of a-z, 0-9, '.', '_' and '-'"},
			check{!listedNodes[peer.Node], name + ".node", peer.Node, "each node once"},
			check{validAddress(peer.Address), name + ".address", peer.Address, "an IP address and a port"},
		)
		listedNodes[peer.Node] = true
		if peer.Voter {
			voters++
		}
		if peer.Node == settings.Node {
			checks = append(checks, check{
				peer.Voter == (settings.DataFolder != ""), "data_folder", settings.DataFolder, "a folder on a voter and none elsewhere",
			})
		}
	}
	return append(
		checks,
		check{listedNodes[settings.Node], "peers", settings.Node, "a list with this node in it"},
		check{voters%2 == 1, "peers", voters, "an odd number of voters"},
	)
}

func (settings *Settings) modelChecks() []check {
	var checks []check
	const maxModels = 16
	for index, model := range settings.Models {
		name := "models[" + strconv.Itoa(index) + "]"
		checks = append(
			checks,
			check{nameRegexp.MatchString(string(model.Model)), name + ".model", model.Model, "1 to 63 of a-z, 0-9, '.', '_' and '-'"},
			check{model.HostsPerGroup >= 1, name + ".hosts", model.HostsPerGroup, "1 or more"},
			check{model.Weight >= 1, name + ".weight", model.Weight, "1 or more"},
		)
	}
	return append(checks, check{len(settings.Models) <= maxModels, "models", len(settings.Models), "16 models at most"})
}

func (settings *Settings) credentialChecks() []check {
	var checks []check
	credentialsByField := map[string][]rest.Credential{
		"credentials.operators": settings.Credentials.Operators, "credentials.announcers": settings.Credentials.Announcers,
	}
	for name, list := range credentialsByField {
		for _, credential := range list {
			valid := len(credential.TokenSHA256) == 64 && strings.ToLower(credential.TokenSHA256) == credential.TokenSHA256
			checks = append(
				checks,
				check{credential.Name != "", name + ".name", credential.Name, "a name"},
				check{valid, name + ".token_sha256", credential.TokenSHA256, "64 lower-case hexadecimal digits"},
			)
		}
	}
	return checks
}

func (settings *Settings) tlsChecks() []check {
	var checks []check
	pairByField := map[string]KeyPair{
		"tls.callers": settings.TLS.Callers, "tls.hosts": settings.TLS.Hosts,
		"tls.operators": settings.TLS.Operators, "tls.peers": settings.TLS.Peers,
	}
	for name, pair := range pairByField {
		checks = append(checks, check{
			(pair.CertificateFile == "") == (pair.KeyFile == ""), name, pair.CertificateFile, "both certificate_file and key_file, or neither",
		})
	}
	peersTLS := settings.TLS.Peers.CertificateFile != ""
	return append(checks, check{
		peersTLS == (settings.TLS.PeerAuthorityFile != ""), "tls.peer_authority_file", settings.TLS.PeerAuthorityFile,
		"the authority's certificates when tls.peers is set, else nothing",
	})
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 0 && number < 65536
}

// Voters returns the nodes that vote.
func (settings *Settings) Voters() []id.Node {
	var voters []id.Node
	for _, peer := range settings.Peers {
		if peer.Voter {
			voters = append(voters, peer.Node)
		}
	}
	return voters
}

// Nodes returns all nodes.
func (settings *Settings) Nodes() []id.Node {
	nodes := make([]id.Node, len(settings.Peers))
	for index, peer := range settings.Peers {
		nodes[index] = peer.Node
	}
	return nodes
}

// ReadToken returns the content of a token file without surrounding white space.
// An empty token is an error.
func ReadToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errors.Errorf("read token: file %s is empty", path)
	}
	return token, nil
}
