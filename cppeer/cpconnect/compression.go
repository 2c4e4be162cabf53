package cpconnect

import (
	"connectrpc.com/connect"
	"github.com/klauspost/compress/zstd"
)

// compressionName is the name of the compression in the headers of a call.
const compressionName = "zstd"

const (
	// compressionWindow is the memory in bytes in which a compressor looks for repetitions.
	compressionWindow = 256 << 10
	// minCompressedBytes is the size from which a message is compressed. Compressing a smaller one takes longer than sending it.
	minCompressedBytes = 4 << 10
)

// newCompressor returns a compressor that needs little memory and no goroutines.
func newCompressor() connect.Compressor {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // the options are constants
	}
	return w
}

// decompressor reuses a decoder, which can't be reset after it was closed.
type decompressor struct{ *zstd.Decoder }

// Close implements connect.Decompressor.
func (d decompressor) Close() error { return d.Reset(nil) }

// newDecompressor returns a function that creates decompressors of messages with maxBytes bytes at most.
func newDecompressor(maxBytes int) func() connect.Decompressor {
	return func() connect.Decompressor {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxBytes)))
		if err != nil {
			panic(err) // the options are constants
		}
		return decompressor{d}
	}
}
