package cluster

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"carobline.dev/soak/process/proxy"
)

const (
	// OperatorToken is the operators' token.
	OperatorToken  = "operator-soak-token"
	announcerToken = "announcer-soak-token"
	// Model is the model that the engines serve.
	Model = "pulp-7b"
	// Service is the plain service.
	Service      = "orders"
	nodeMemoryMB = 128
	// hostBits keep the seeds of a run's hosts apart from those of other runs.
	hostBits = 8
	fileMode = 0o600
)

// object is a part of a settings file.
type object map[string]any

// TokenHash returns the hash of a token as settings and contracts state it.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// prepare writes tokens and settings, starts the links and defines the processes.
func (cluster *Cluster) prepare() error {
	for name, token := range map[string]string{"peer.token": "peer-soak-token", "order.token": "order-soak-token", "announcer.token": announcerToken} {
		if err := os.WriteFile(cluster.path(name), []byte(token), fileMode); err != nil {
			return errors.Wrap(err, "write a token")
		}
	}
	link := &cluster.shape
	link.LinkWays = []string{string(proxy.Delay), string(proxy.Reset), string(proxy.CutUp), string(proxy.CutDown), string(proxy.Silence)}
	link.FrontWays = append([]string{string(proxy.Repeat), string(proxy.Repeat)}, link.LinkWays...)
	var announce []string
	for index := range nodeCount {
		name := nodeName(index)
		link.Nodes = append(link.Nodes, name)
		address, err := cluster.addLink("hosts>"+name, cluster.addresses.Address(index, hostsPort))
		if err != nil {
			return err
		}
		link.AnnounceLinks = append(link.AnnounceLinks, "hosts>"+name)
		announce = append(announce, "http://"+address)
	}
	for index := range nodeCount {
		if err := cluster.prepareNode(index); err != nil {
			return err
		}
	}
	return cluster.prepareHosts(strings.Join(announce, ","))
}

func nodeName(index int) string { return fmt.Sprintf("n%d", index+1) }

func (cluster *Cluster) prepareNode(self int) error {
	name := nodeName(self)
	var peers []object
	for index := range nodeCount {
		address := cluster.addresses.Address(index, peersPort)
		if index != self {
			link := name + ">" + nodeName(index)
			proxied, err := cluster.addLink(link, address)
			if err != nil {
				return err
			}
			cluster.shape.PeerLinks = append(cluster.shape.PeerLinks, link)
			address = proxied
		}
		peers = append(peers, object{"node": nodeName(index), "address": address, "voter": index < voterCount})
	}
	settings := object{
		"node": name, "data_centre": "dc1", "peers": peers, "group_loads": 4,
		"listen": object{
			"callers": cluster.addresses.Address(self, callersPort), "hosts": cluster.addresses.Address(self, hostsPort),
			"operators": cluster.addresses.Address(self, operatorsPort), "peers": cluster.addresses.Address(self, peersPort),
		},
		"models": []object{{"model": Model, "hosts": 2, "weight": 1}},
		"limits": object{"memory_mb": nodeMemoryMB, "silence_ms": 1500},
		"credentials": object{
			"operators":  []object{{"name": "soak", "token_sha256": TokenHash(OperatorToken)}},
			"announcers": []object{{"name": "hosts", "token_sha256": TokenHash(announcerToken)}}, "peer_token_file": cluster.path("peer.token"), "order_token_file": cluster.path("order.token"),
		},
	}
	if self < voterCount {
		settings["data_folder"] = cluster.path(name + ".data")
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(cluster.path(name+".json"), text, fileMode); err != nil {
		return errors.Wrap(err, "write settings")
	}
	cluster.addProcess(name, "caroblined", "-settings", cluster.path(name+".json"))
	return nil
}

// hostAddress returns the address at which an engine listens, or a host of the service after
// all engines.
func (cluster *Cluster) hostAddress(index int) string {
	const firstHost = 20
	return cluster.addresses.Address(firstHost+index, 0)
}

// RunsPath returns the file with the runs of an engine or a host of the service.
func (cluster *Cluster) RunsPath(name string) string { return cluster.path(name + ".runs") }

func (cluster *Cluster) prepareHosts(announce string) error {
	for index := range engineCount + serviceCount {
		name, listen := fmt.Sprintf("h%d", index+1), cluster.hostAddress(index)
		advertise, err := cluster.addLink("front>"+name, listen)
		if err != nil {
			return err
		}
		arguments := []string{
			"-host", name, "-listen", listen, "-advertise", advertise, "-announce", announce,
			"-token-file", cluster.path("announcer.token"), "-runs-file", cluster.RunsPath(name),
		}
		if index < engineCount {
			cluster.shape.Engines = append(cluster.shape.Engines, name)
			cluster.shape.EngineFronts = append(cluster.shape.EngineFronts, "front>"+name)
			cluster.addProcess(name, "fakeengine", append(arguments, "-data-centre", "dc1", "-domain", "fabric-a", "-models", Model, "-pace", "15ms")...)
			continue
		}
		cluster.shape.Services = append(cluster.shape.Services, name)
		cluster.shape.ServiceFronts = append(cluster.shape.ServiceFronts, "front>"+name)
		seed := cluster.config.Seed<<hostBits + uint64(index)
		cluster.addProcess(name, "standin", append(arguments, "-seed", fmt.Sprint(seed))...)
	}
	return nil
}
