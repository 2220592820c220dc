import { fstatSync, write, writeSync } from "node:fs";
import process from "node:process";
import { tryOrElse } from "true-myth/result";
import { createLineBuffer } from "./create_line_buffer.ts";
import type { LogDestination } from "./log_destination.ts";

const standardOutput = 1;
/** Lines are written once this many bytes are buffered, or at the next periodic flush. */
const writeBytesMinimum = 4_096;
const blockBytesMaximum = 16_384;
const bufferedBytesMaximum = 1_048_576;
/** Space that the line with the number of dropped lines may need. */
const reportBytesMaximum = 1_024;
const flushMilliseconds = 500;
/** How long the end of the process waits for a reader that does not read. */
const exitMillisecondsMaximum = 500;
const exitRetryMilliseconds = 10;

interface WriteError {
  readonly code?: string;
}

/**
 * Creates a destination that writes to standard output. Lines that do not fit
 * in its buffer are dropped and counted. What is buffered when the process ends
 * is written then, unless nobody reads it.
 */
export function createLogDestination(
  options: {
    /** Receives the number of lines dropped since the last time, once a line fits again. */
    readonly onDropped: (dropped: number) => void;
    /**
     * Called before each periodic flush and before the last one. `now` is in
     * milliseconds on the steady clock; infinite for the last flush.
     */
    readonly onFlush: (now: number) => void;
  },
): LogDestination {
  const buffer = createLineBuffer({
    bytesMaximum: bufferedBytesMaximum,
    blockBytesMaximum,
  });
  const isNonBlocking = trySetNonBlocking();
  let isWriting = false;
  let isClosed = false;

  function handleWritten(error: WriteError | null, written: number): void {
    isWriting = false;
    if (error === null) {
      buffer.remove(written);
      reportDropped();
      flush();
    } else {
      // With EPIPE the reader has left for good; after any other error, such as a
      // full pipe or disk, the next flush tries again.
      isClosed = error.code === "EPIPE";
    }
  }

  function reportDropped(): void {
    if (buffer.getBytes() > bufferedBytesMaximum - reportBytesMaximum) return;
    const dropped = buffer.takeDropped();
    if (dropped > 0) options.onDropped(dropped);
  }

  function flush(): void {
    const block = buffer.peek();
    if (block.length === 0 || isWriting || isClosed) return;
    isWriting = true;
    if (isNonBlocking) {
      const result = tryWrite(block);
      handleWritten(
        result.isErr ? result.error : null,
        result.isOk ? result.value : 0,
      );
    } else {
      write(standardOutput, block, handleWritten);
    }
  }

  function flushAtExit(): void {
    options.onFlush(Infinity);
    // A thread completes the write that is under way, so its block must not be
    // written again.
    if (isWriting) buffer.remove(buffer.peek().length);
    writeUntil(performance.now() + exitMillisecondsMaximum);
    reportDropped();
    writeUntil(performance.now());
  }

  function writeUntil(end: number): void {
    // Ends once all is written, which depends on the reader.
    while (!isClosed) {
      const block = buffer.peek();
      if (block.length === 0) return;
      const result = tryWrite(block);
      if (result.isOk) {
        buffer.remove(result.value);
      } else if (result.error.code !== "EAGAIN" || performance.now() >= end) {
        return;
      } else {
        sleep(exitRetryMilliseconds);
      }
    }
  }

  setInterval(() => {
    options.onFlush(performance.now());
    reportDropped();
    flush();
  }, flushMilliseconds).unref();
  process.on("exit", flushAtExit);
  return {
    write: (line) => {
      if (isClosed) return;
      buffer.append(line);
      if (buffer.getBytes() >= writeBytesMinimum) flush();
    },
    countDropped: buffer.countDropped,
  };
}

/**
 * Returns whether standard output is a pipe or a socket and writes to it fail
 * with `EAGAIN` instead of blocking. Otherwise a reader that does not read
 * would block a thread, and the process could not end.
 */
function trySetNonBlocking(): boolean {
  const status = fstatSync(standardOutput);
  if (!status.isFIFO() && !status.isSocket()) return false;
  // Node.js makes the descriptor non-blocking when the stream is created, and
  // blocking again at its end, also for processes that share the same pipe.
  return process.stdout.fd === standardOutput;
}

function tryWrite(block: Uint8Array) {
  return tryOrElse(
    (error) => error as WriteError,
    () => writeSync(standardOutput, block),
  );
}

function sleep(milliseconds: number): void {
  Atomics.wait(
    new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)),
    0,
    0,
    milliseconds,
  );
}
