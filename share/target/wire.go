package target

// RunRequest is the body of POST /v1/run.
type RunRequest struct {
	ID    string `json:"id"`
	Input string `json:"input"`
	Model string `json:"model,omitempty"`
}

// RunResponse answers POST /v1/run. Length is the number of bytes of Output, Checksum
// the value of apiv1.Checksum(Output).
type RunResponse struct {
	ID       string `json:"id"`
	Output   string `json:"output"`
	Length   int    `json:"length"`
	Checksum string `json:"checksum"`
}

// CompletionRequest is the body of POST /v1/completions, in the OpenAI format.
type CompletionRequest struct {
	Model         string         `json:"model"`
	Prompt        string         `json:"prompt"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	// ResumeFrom leaves out that many tokens of the stream, which the caller has
	// from an earlier call with the same prompt.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// StreamOptions asks an engine to put usage into the last chunk.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Chunk is one server-sent event of a streamed completion. The ID is the same in
// all chunks of a stream. Usage is present in the last chunk only.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative in a chunk; there is always exactly one.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    *PromptDetail `json:"prompt_tokens_details,omitempty"`
}

// PromptDetail says how many prompt tokens came from the prefix cache.
type PromptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

// DoneMark is the data of the event that ends a stream.
const DoneMark = "[DONE]"

// Finish reasons of a whole completion.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Order is the body of POST /v1/orders. Model names a model, a version, an adapter
// or a role, depending on the kind.
type Order struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Model string `json:"model"`
}

// Kinds of orders.
const (
	OrderLoad    = "load"
	OrderUnload  = "unload"
	OrderVersion = "version"
	OrderAdapter = "adapter"
	OrderRole    = "role"
)

// KVCache is the body of POST /v1/cache/import and the answer to POST
// /v1/cache/export, whose body is a KVRequest. Bytes is the size to transfer.
type KVCache struct {
	Blocks []string `json:"blocks"`
	Bytes  int64    `json:"bytes"`
}

// KVExportRequest names the prompt whose cached blocks are to be exported.
type KVExportRequest struct {
	Prompt string `json:"prompt"`
}
