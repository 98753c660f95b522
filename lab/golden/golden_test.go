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

// A field that Fill leaves empty would not be compared.
func TestFillSetsEveryField(t *testing.T) {
	var v outer
	Fill(&v)
	if v.One == 0 || v.Inner == nil || v.Inner.Left == "" || len(v.Inner.Right) == 0 || len(v.Map) != 1 {
		b, err := json.Marshal(v)
		t.Errorf("%s, %v", b, err)
	}
	var again outer
	Fill(&again)
	if !reflect.DeepEqual(v, again) {
		t.Error("the same type was filled in two ways")
	}
}
