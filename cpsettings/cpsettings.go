// Package cpsettings reads the settings of one process: its addresses, its failure domain and its limits.
// It decides what settings are acceptable; it holds nothing that operators change while the process runs.
package cpsettings

import (
	"os"
	"time"

	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptoken"
	"github.com/clementineport/clementineport/cpyaml"
)

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 1 << 20

// Error is the class of errors in reading settings.
var Error = errs.Class("settings")

// Addresses are the addresses of one VM, one for each kind of client.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// Limits bound what one process takes on.
type Limits struct {
	BodyBytes         cpyaml.Size
	HeaderBytes       cpyaml.Size
	QueriesInProgress int
	PeerBodyBytes     cpyaml.Size
	Connections       int
	HeaderTimeout     time.Duration
	IdleTimeout       time.Duration
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	// AdviceLife is how long callers may use an address that they were told.
	AdviceLife time.Duration
	// Whole bounds the whole shutdown.
	Whole time.Duration
}

// Exporter names where traces go.
type Exporter string

const (
	// ExporterNone records no traces.
	ExporterNone Exporter = "none"
	// ExporterStdout writes traces to the standard output.
	ExporterStdout Exporter = "stdout"
	// ExporterOTLP sends traces to an OTLP collector over HTTP.
	ExporterOTLP Exporter = "otlp"
)

// Trace says where traces go.
type Trace struct {
	Exporter Exporter
	Endpoint string
}

// Settings are the settings of one process.
type Settings struct {
	VM        clementineport.VMID
	Domain    clementineport.FailureDomain
	Region    string
	Listen    Addresses
	Advertise Addresses
	// Store lists the addresses of the platform's store.
	Store []string
	// Directory is the address of the platform's list of VMs.
	Directory string
	// Peers are addresses of other VMs to ask first.
	Peers       []string
	Token       cptoken.Token
	TokenFile   string
	Limits      Limits
	Shutdown    Shutdown
	Trace       Trace
	AllowPolicy bool
	At          cpyaml.Location `json:"-"`
}

// Defaults returns the settings that hold where a file says nothing.
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

// Load reads and checks a settings file, and the token file that it names.
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

// Parse decodes and checks settings; the error is cpyaml.Faults and lists every fault.
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

// advertised fills addresses that are not set with those that the process listens on.
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
