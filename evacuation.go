package catkinspindle

import "slices"

// Evacuations are the data centres whose replicas must get no further requests, as of a
// position of the store.
type Evacuations struct {
	At Position `cbor:"1,keyasint"`
	// DataCentres is sorted.
	DataCentres []string `cbor:"2,keyasint,omitempty"`
}

// NewEvacuations returns the evacuations of data centres as of a position of the store.
func NewEvacuations(at Position, dataCentres ...string) Evacuations {
	list := slices.Clone(dataCentres)
	slices.Sort(list)
	return Evacuations{At: at, DataCentres: slices.Compact(list)}
}

// Contains reports whether a data centre is evacuated.
func (e Evacuations) Contains(dataCentre string) bool {
	_, found := slices.BinarySearch(e.DataCentres, dataCentre)
	return found
}

// With returns a copy of e, as of another position, in which a data centre is evacuated or not.
func (e Evacuations) With(at Position, dataCentre string, evacuated bool) Evacuations {
	list := slices.DeleteFunc(slices.Clone(e.DataCentres), func(name string) bool { return name == dataCentre })
	if evacuated {
		list = append(list, dataCentre)
	}
	return NewEvacuations(at, list...)
}
