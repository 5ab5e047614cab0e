package jobs

import (
	"fmt"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Labels is a set of labels that a worker must have. Its JSON form is a string or a list of strings.
type Labels []string

// UnmarshalEasyJSON decodes a string or a list of strings. Null and the empty string decode to no labels.
func (l *Labels) UnmarshalEasyJSON(in *jlexer.Lexer) {
	*l = nil
	switch value := in.Interface().(type) {
	case nil:
	case string:
		if value != "" {
			*l = Labels{value}
		}
	case []any:
		for _, element := range value {
			text, ok := element.(string)
			if !ok {
				in.AddError(fmt.Errorf("constraints: %v is no label", element))
				return
			}
			*l = append(*l, text)
		}
	default:
		in.AddError(fmt.Errorf("constraints: %v is no label", value))
	}
}

// MarshalEasyJSON encodes the labels as a list.
func (l Labels) MarshalEasyJSON(out *jwriter.Writer) {
	out.RawByte('[')
	for i, label := range l {
		if i > 0 {
			out.RawByte(',')
		}
		out.String(label)
	}
	out.RawByte(']')
}
