package journal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// A stored value consists of a format version (one byte), the big-endian xxhash64 of the
// payload (eight bytes), and the protobuf payload.
const (
	formatVersion = 1
	headerLen     = 9 // bytes
)

func encode(m proto.Message) ([]byte, error) {
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	value := make([]byte, headerLen, headerLen+len(payload))
	value[0] = formatVersion
	binary.BigEndian.PutUint64(value[1:headerLen], xxhash.Sum64(payload))
	return append(value, payload...), nil
}

// decode reads a stored value into m. A field that is unknown to this binary is an error,
// because ignoring it could lose a state change.
func decode(value []byte, m proto.Message) error {
	if len(value) < headerLen {
		return trace.Wrap(ErrCorrupt, "value of %d bytes is shorter than its header", len(value))
	}
	if value[0] != formatVersion {
		return trace.Wrap(ErrUnknownFormat, "format version %d", value[0])
	}
	payload := value[headerLen:]
	if xxhash.Sum64(payload) != binary.BigEndian.Uint64(value[1:headerLen]) {
		return trace.Wrap(ErrCorrupt, "checksum does not match")
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return trace.Wrap(ErrCorrupt, "%v", err)
	}
	return rejectUnknownFields(m.ProtoReflect())
}

func rejectUnknownFields(m protoreflect.Message) error {
	if len(m.GetUnknown()) > 0 {
		return trace.Wrap(ErrUnknownFormat, "unknown field in %s", m.Descriptor().Name())
	}
	var err error
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		err = rejectUnknownFieldsIn(fd, v)
		return err == nil
	})
	return err
}

func rejectUnknownFieldsIn(fd protoreflect.FieldDescriptor, v protoreflect.Value) error {
	if fd.Message() == nil {
		return nil
	}
	if !fd.IsList() {
		return rejectUnknownFields(v.Message())
	}
	list := v.List()
	for i := range list.Len() {
		if err := rejectUnknownFields(list.Get(i).Message()); err != nil {
			return err
		}
	}
	return nil
}
