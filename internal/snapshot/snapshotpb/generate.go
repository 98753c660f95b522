package snapshotpb

//go:generate sh -c "protoc --plugin=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative snapshot.proto"
