package golden

import (
	"encoding/json"
	"reflect"
	"testing"
)

type inner struct {
	Left  string `json:"left"`
	Right []int  `json:"right"`
}

type outer struct {
	One   int               `json:"one"`
	Inner *inner            `json:"inner"`
	Map   map[string]*inner `json:"map"`
}

// Fill must set every field, because a golden file does not pin the form of an empty one, and must give the same values
// each time.
func TestFillSetsEveryField(t *testing.T) {
	var v outer
	Fill(&v)
	if v.One == 0 || v.Inner == nil || v.Inner.Left == "" || len(v.Inner.Right) == 0 || len(v.Map) != 1 {
		b, err := json.Marshal(v)
		t.Errorf("Fill left a field empty: %s (encoding error: %v)", b, err)
	}
	var again outer
	Fill(&again)
	if !reflect.DeepEqual(v, again) {
		t.Error("two calls of Fill gave different values")
	}
}
