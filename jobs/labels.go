package jobs

import (
	"fmt"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Labels are labels that a worker must have. In JSON they are a string or a list of strings.
type Labels []string

// UnmarshalEasyJSON reads a string or a list of strings; null and the empty string are no labels.
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

// MarshalEasyJSON writes the labels as a list.
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
