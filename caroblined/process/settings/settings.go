// Package settings reads a daemon's settings file and refuses what it doesn't
// know or can't use, naming the field, the value and what is allowed.
//
// # Usage
//
//	known, err := settings.Load(path)
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

// Settings is a daemon's settings file.
type Settings struct {
	Node       id.Node       `json:"node"`
	DataCentre id.DataCentre `json:"data_centre"`
	Listen     Listen        `json:"listen"`
	// DataFolder makes the node a voter; it must be on a disk.
	DataFolder string `json:"data_folder,omitempty"`
	// Peers lists all nodes, this one too.
	Peers []Peer `json:"peers"`
	// Models says how each model is served.
	Models []placer.Spec `json:"models"`
	// MaxLoadingGroups bounds the groups that load weights at the same time.
	MaxLoadingGroups int         `json:"group_loads"`
	Credentials      Credentials `json:"credentials"`
	TLS              TLS         `json:"tls,omitzero"`
	Limits           Limits      `json:"limits,omitzero"`
	// RouterOff keeps callers away from a host that is set aside for control.
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
	// Voter is set for the nodes with a data folder.
	Voter bool `json:"voter,omitempty"`
}

// Credentials open the interfaces other than that of callers.
type Credentials struct {
	Operators  []rest.Credential `json:"operators"`
	Announcers []rest.Credential `json:"announcers"`
	// PeerTokenFile holds the token that nodes show each other.
	PeerTokenFile string `json:"peer_token_file"`
	// OrderTokenFile holds the token that engines are shown.
	OrderTokenFile string `json:"order_token_file"`
}

// TLS holds the files for each listener; empty means plain TCP.
type TLS struct {
	Callers   KeyPair `json:"callers,omitzero"`
	Hosts     KeyPair `json:"hosts,omitzero"`
	Operators KeyPair `json:"operators,omitzero"`
	Peers     KeyPair `json:"peers,omitzero"`
	// PeerAuthorityFile holds the certificates that peers are checked against.
	PeerAuthorityFile string `json:"peer_authority_file,omitempty"`
}

// KeyPair is a certificate and its key on disk.
type KeyPair struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// Limits bound what one caller can take up.
type Limits struct {
	BodyBytes   int64 `json:"body_bytes,omitempty"`
	HeaderBytes int   `json:"header_bytes,omitempty"`
	Connections int   `json:"connections,omitempty"`
	// InactivityTimeoutMS is how long an endpoint may be silent before it is given up.
	InactivityTimeoutMS int64 `json:"silence_ms,omitempty"`
	// CallerWriteTimeoutMS is how long a caller may take to accept one write.
	CallerWriteTimeoutMS int64 `json:"caller_stall_ms,omitempty"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings, err := Parse(data)
	return settings, step.Wrap(err, "settings %s", path)
}

// Parse checks the text of a settings file.
func Parse(data []byte) (Settings, error) {
	settings, err := rest.Decode[Settings](data)
	if err != nil {
		return Settings{}, err
	}
	settings.applyDefaults()
	return settings, settings.validate()
}

// applyDefaults puts the usual values in for limits that aren't given.
func (settings *Settings) applyDefaults() {
	limits := &settings.Limits
	setDefault(&limits.BodyBytes, 4<<20)
	setDefault(&limits.HeaderBytes, 64<<10)
	setDefault(&limits.Connections, 10_000)
	setDefault(&limits.InactivityTimeoutMS, 30_000)
	setDefault(&limits.CallerWriteTimeoutMS, 30_000)
	setDefault(&settings.MaxLoadingGroups, 4)
	setDefault(&settings.LogLevel, "info")
}

func setDefault[T comparable](value *T, usual T) {
	var zero T
	if *value == zero {
		*value = usual
	}
}

// check is one test of one field.
type check struct {
	ok      bool
	name    string
	value   any
	allowed string
}

func (settings *Settings) validate() error {
	const address = "an IP number and a port"
	checks := []check{
		{namePattern.MatchString(string(settings.Node)), "node", settings.Node, "1 to 63 of a-z, 0-9, '.', '_' and '-'"},
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
	seen := map[id.Node]bool{}
	voters := 0
	for index, peer := range settings.Peers {
		name := "peers[" + strconv.Itoa(index) + "]"
		checks = append(
			checks,
			check{namePattern.MatchString(string(peer.Node)), name + ".node", peer.Node, "1 to 63 of a-z, 0-9, '.', '_' and '-'"},
			check{!seen[peer.Node], name + ".node", peer.Node, "each node once"},
			check{validAddress(peer.Address), name + ".address", peer.Address, "an IP number and a port"},
		)
		seen[peer.Node] = true
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
		check{seen[settings.Node], "peers", settings.Node, "a list with this node in it"},
		check{voters%2 == 1, "peers", voters, "an odd number of voters"},
	)
}

func (settings *Settings) modelChecks() []check {
	var checks []check
	const mostModels = 16
	for index, model := range settings.Models {
		name := "models[" + strconv.Itoa(index) + "]"
		checks = append(
			checks,
			check{namePattern.MatchString(string(model.Model)), name + ".model", model.Model, "1 to 63 of a-z, 0-9, '.', '_' and '-'"},
			check{model.HostsPerGroup >= 1, name + ".hosts", model.HostsPerGroup, "1 or more"},
			check{model.Weight >= 1, name + ".weight", model.Weight, "1 or more"},
		)
	}
	return append(checks, check{len(settings.Models) <= mostModels, "models", len(settings.Models), "16 models at most"})
}

func (settings *Settings) credentialChecks() []check {
	var checks []check
	lists := map[string][]rest.Credential{
		"credentials.operators": settings.Credentials.Operators, "credentials.announcers": settings.Credentials.Announcers,
	}
	for name, list := range lists {
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
	pairs := map[string]KeyPair{
		"tls.callers": settings.TLS.Callers, "tls.hosts": settings.TLS.Hosts,
		"tls.operators": settings.TLS.Operators, "tls.peers": settings.TLS.Peers,
	}
	for name, pair := range pairs {
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

// Voters lists the nodes that vote.
func (settings *Settings) Voters() []id.Node {
	var voters []id.Node
	for _, peer := range settings.Peers {
		if peer.Voter {
			voters = append(voters, peer.Node)
		}
	}
	return voters
}

// Nodes lists all nodes.
func (settings *Settings) Nodes() []id.Node {
	nodes := make([]id.Node, len(settings.Peers))
	for index, peer := range settings.Peers {
		nodes[index] = peer.Node
	}
	return nodes
}

// ReadToken reads a token file.
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
