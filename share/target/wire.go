package target

// RunRequest is the body of POST /v1/run.
type RunRequest struct {
	ID    string `json:"id"`
	Input string `json:"input"`
	Model string `json:"model,omitempty"`
}

// RunResponse is the response to POST /v1/run. Length is the number of bytes of Output,
// Checksum the result of apiv1.Checksum(Output).
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
	// ResumeFrom is the number of tokens to omit from the start of the stream, which the
	// caller received from an earlier call with the same prompt.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// StreamOptions configures a stream. IncludeUsage asks for Usage in the last chunk.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Chunk is one server-sent event of a streamed completion. All chunks of a stream have
// the same ID. Only the last chunk has Usage.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is an alternative in a chunk. Each chunk has exactly one.
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

// PromptDetail counts the prompt tokens that were in the prefix cache.
type PromptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

// DoneMark is the data of the last event of a stream.
const DoneMark = "[DONE]"

// The finish reasons of a completion that did not end early.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Order is the body of POST /v1/orders. Model is the name of a model, version, adapter
// or role, depending on Kind.
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

// KVCache is the body of POST /v1/cache/import and the response to POST
// /v1/cache/export. Blocks are block hashes, Bytes the size of the transfer.
type KVCache struct {
	Blocks []string `json:"blocks"`
	Bytes  int64    `json:"bytes"`
}

// KVExportRequest is the body of POST /v1/cache/export. Prompt is the prompt whose
// cached blocks are exported.
type KVExportRequest struct {
	Prompt string `json:"prompt"`
}
