package cpestate

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/klauspost/compress/zstd"

	"github.com/clementineport/clementineport"
)

// Limits of an encoded configuration.
const (
	// MaxEncodedBytes is the maximum size of a value in the platform's store.
	MaxEncodedBytes = 1_000_000
	// MaxDecodedBytes is the maximum size of a decompressed configuration, as a protection against decompression bombs.
	MaxDecodedBytes = 2 * MaxTextBytes
	encodeWindow    = 1 << 20
)

// storedConfig is the encoded form of a configuration. Text is a string, since JSON encodes a byte slice in base64,
// which compresses badly.
type storedConfig struct {
	Revision clementineport.Revision
	Text     string
	Out      clementineport.OutOfService
	Changes  []clementineport.Change
}

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(encodeWindow))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDecodedBytes))
)

// EncodeConfig returns the compressed form of a configuration, as it is stored and sent to peers.
func EncodeConfig(cfg *clementineport.Config) ([]byte, error) {
	if !utf8.Valid(cfg.Text) {
		return nil, clementineport.Fail(clementineport.FaultInvalid, "the text is not valid UTF-8")
	}
	plain, err := json.Marshal(storedConfig{
		Revision: cfg.Revision, Text: string(cfg.Text), Out: cfg.OutOfService, Changes: cfg.Changes,
	})
	if err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultInvalid, Reason: "encode configuration", Err: err}
	}
	value := encoder.EncodeAll(plain, nil)
	if len(value) > MaxEncodedBytes {
		return nil, clementineport.Fail(clementineport.FaultInvalid,
			"the configuration has %d bytes when compressed; at most %d are allowed", len(value), MaxEncodedBytes)
	}
	return value, nil
}

// DecodeConfig decodes the result of EncodeConfig. Its memory use is bounded for any value.
func DecodeConfig(value []byte) (*clementineport.Config, error) {
	if len(value) > MaxEncodedBytes {
		return nil, clementineport.Fail(clementineport.FaultOversized, "the value has %d bytes", len(value))
	}
	plain, err := decoder.DecodeAll(value, nil)
	if err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultMalformed, Reason: "decompress configuration", Err: err}
	}
	var s storedConfig
	if err := json.Unmarshal(plain, &s); err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultMalformed, Reason: "decode configuration", Err: err}
	}
	return &clementineport.Config{Revision: s.Revision, Text: []byte(s.Text), OutOfService: s.Out, Changes: s.Changes}, nil
}
