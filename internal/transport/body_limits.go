package transport

// streamBufferBytes is the size of the buffer through which a streamed body goes.
const streamBufferBytes = 32 << 10

// unknownLength is the length of a streamed body that comes in chunks.
const unknownLength = -1
