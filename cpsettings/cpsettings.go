// Package cpsettings reads and validates the settings file of a process, which holds its addresses, its failure domain
// and its limits. Settings are fixed while the process runs; what operators change at run time is not among them.
package cpsettings

import (
	"os"
	"time"

	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptoken"
	"github.com/clementineport/clementineport/cpyaml"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Error is the class of errors in reading settings.
var Error = errs.Class("settings")

// Addresses are the addresses of one VM, one for each kind of client.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// Limits holds the resource limits of a process.
type Limits struct {
	BodyBytes         cpyaml.Size
	HeaderBytes       cpyaml.Size
	QueriesInProgress int
	PeerBodyBytes     cpyaml.Size
	Connections       int
	HeaderTimeout     time.Duration
	IdleTimeout       time.Duration
}

// Shutdown holds the time limits of a graceful shutdown.
type Shutdown struct {
	// AdviceLife is the TTL of an entry list.
	AdviceLife time.Duration
	// Whole is the maximum duration of the complete shutdown.
	Whole time.Duration
}

// Exporter is the destination of traces.
type Exporter string

const (
	// ExporterNone records no traces.
	ExporterNone Exporter = "none"
	// ExporterStdout writes traces to standard output.
	ExporterStdout Exporter = "stdout"
	// ExporterOTLP sends traces to an OTLP collector over HTTP.
	ExporterOTLP Exporter = "otlp"
)

// Trace configures the export of traces. Endpoint is the URL of the collector for ExporterOTLP.
type Trace struct {
	Exporter Exporter
	Endpoint string
}

// Settings holds the settings of a process.
type Settings struct {
	VM        clementineport.VMID
	Domain    clementineport.FailureDomain
	Region    string
	Listen    Addresses
	Advertise Addresses
	// Store lists the addresses of the platform's store.
	Store []string
	// Directory is the address of the platform's VM directory.
	Directory string
	// Peers lists addresses of VMs to contact before others are known.
	Peers       []string
	Token       cptoken.Token
	TokenFile   string
	Limits      Limits
	Shutdown    Shutdown
	Trace       Trace
	AllowPolicy bool
	At          cpyaml.Location `json:"-"`
}

// Defaults returns the values of settings that a file does not set.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:         64 << 10,
			HeaderBytes:       16 << 10,
			QueriesInProgress: 4096,
			PeerBodyBytes:     8 << 20,
			Connections:       16384,
			HeaderTimeout:     5 * time.Second,
			IdleTimeout:       2 * time.Minute,
		},
		Shutdown: Shutdown{AdviceLife: 10 * time.Second, Whole: 75 * time.Second},
		Trace:    Trace{Exporter: ExporterNone},
	}
}

// Load reads and checks a settings file and the token file that it names, if any.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if s.TokenFile != "" {
		secret, err := os.ReadFile(s.TokenFile)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		s.Token = cptoken.New(string(secret))
	}
	if s.Token.Len() < MinTokenBytes {
		return nil, Error.New("the token of %s has less than %d bytes", s.TokenFile, MinTokenBytes)
	}
	return s, nil
}

// Parse decodes and checks settings. Its error is a cpyaml.Faults with every fault.
func Parse(text []byte) (*Settings, error) {
	s := Defaults()
	var faults cpyaml.Faults
	cpyaml.Decode(text, MaxFileBytes, &s, &faults)
	if s.At == (cpyaml.Location{}) {
		return nil, faults.Err()
	}
	s.check(&faults)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	s.At = cpyaml.Location{}
	s.Advertise = advertised(s.Listen, s.Advertise)
	return &s, nil
}

// advertised returns advertise with empty addresses replaced by the listen addresses.
func advertised(listen, advertise Addresses) Addresses {
	fill := func(own *string, other string) {
		if *own == "" {
			*own = other
		}
	}
	fill(&advertise.Caller, listen.Caller)
	fill(&advertise.Peer, listen.Peer)
	fill(&advertise.Operator, listen.Operator)
	return advertise
}
