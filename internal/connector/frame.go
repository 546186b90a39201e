package connector

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"daisylane/internal/wirepb"
)

var (
	bodyOneof  = (&wirepb.Frame{}).ProtoReflect().Descriptor().Oneofs().ByName("body")
	bodyFields = indexBodyFields()
)

func indexBodyFields() map[protoreflect.FullName]protoreflect.FieldDescriptor {
	fields := bodyOneof.Fields()
	index := make(map[protoreflect.FullName]protoreflect.FieldDescriptor, fields.Len())
	for i := range fields.Len() {
		fd := fields.Get(i)
		index[fd.Message().FullName()] = fd
	}
	return index
}

// Wrap returns a frame of request id with the message as its body.
func Wrap(id string, m proto.Message) (*wirepb.Frame, error) {
	name := m.ProtoReflect().Descriptor().FullName()
	fd, ok := bodyFields[name]
	if !ok {
		return nil, fmt.Errorf("wrap %s: not a frame body type", name)
	}
	f := &wirepb.Frame{Id: id}
	f.ProtoReflect().Set(fd, protoreflect.ValueOfMessage(m.ProtoReflect()))
	return f, nil
}

// Unwrap returns the message in a frame, or nil if the frame has no body.
func Unwrap(f *wirepb.Frame) proto.Message {
	r := f.ProtoReflect()
	fd := r.WhichOneof(bodyOneof)
	if fd == nil {
		return nil
	}
	return r.Get(fd).Message().Interface()
}

func bodyName(f *wirepb.Frame) protoreflect.FullName {
	fd := f.ProtoReflect().WhichOneof(bodyOneof)
	if fd == nil {
		return ""
	}
	return fd.Message().FullName()
}
