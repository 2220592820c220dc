import test from "ava";
import { Readable } from "node:stream";
import { setImmediate } from "node:timers/promises";
import { frameBytes } from "../frames/frame_bytes.ts";
import { FrameKind } from "../frames/frame_kind.ts";
import type { FrameWriter } from "../frames/frame_writer.ts";
import { createCallController } from "./create_call_controller.ts";
import { writeBodyFrames } from "./write_body_frames.ts";

const turns = 10;
const offer = 1;
/** What the reader of a body from another process gets at a time varies. */
const partBytes = [48_000, 65_536, 20_000, 65_536];
const totalBytes = partBytes.reduce((sum, bytes) => sum + bytes, 0);

/** Lets the streams handle what has arrived. */
async function settle(): Promise<void> {
  // Sequential, since each turn follows the one before.
  for (let turn = 0; turn < turns; turn += 1) await setImmediate();
}

function startBody() {
  const kinds: FrameKind[] = [];
  const received: Buffer[] = [];
  let isEnded = false;
  const writer: FrameWriter = {
    write: ({ kind, onWritten }, payload = []) => {
      kinds.push(kind);
      onWritten?.();
      received.push(...payload);
    },
    tryWithdraw: () => false,
  };
  const body = new Readable({ read: () => undefined });
  const controller = createCallController();
  const addCredit = writeBodyFrames(body, {
    writer,
    signal: controller.signal,
    offer,
    onEnded: () => {
      isEnded = true;
    },
  });
  return {
    body,
    abort: controller.abort,
    addCredit,
    kinds,
    getContent: () => Buffer.concat(received),
    isEnded: () => isEnded,
  };
}

test("a slow reader: no more than the window is sent, whatever the sizes in which the body arrives", async (t) => {
  const { body, addCredit, kinds, getContent, isEnded } = startBody();
  const parts = partBytes.map((bytes, index) => Buffer.alloc(bytes, index));
  parts.forEach((part) => body.push(part));
  body.push(null);
  await settle();
  t.true(getContent().byteLength <= frameBytes.windowMaximum);
  t.false(isEnded());
  let creditedBytes = 0;
  // Sequential, since each credit lets the next bytes be sent.
  while (creditedBytes < totalBytes) {
    const unusedBytes = getContent().byteLength - creditedBytes;
    t.true(unusedBytes > 0 && unusedBytes <= frameBytes.windowMaximum);
    creditedBytes += unusedBytes;
    addCredit(unusedBytes);
    await settle();
  }
  t.deepEqual(getContent(), Buffer.concat(parts));
  t.is(kinds.at(-1), FrameKind.End);
  t.is(kinds.filter((kind) => kind !== FrameKind.Data).length, 1);
  t.true(isEnded());
});

test("a body that breaks off while bytes of it wait for the window is broken off", async (t) => {
  const { body, kinds, addCredit, isEnded } = startBody();
  partBytes.forEach((bytes) => body.push(Buffer.alloc(bytes)));
  await settle();
  body.destroy(new Error("reset"));
  await settle();
  addCredit(totalBytes);
  t.is(kinds.at(-1), FrameKind.Break);
  t.false(kinds.includes(FrameKind.End));
  t.true(isEnded());
});

test("a reader that is gone: an answer whose last bytes wait for the window ends with the deadline", async (t) => {
  const { body, kinds, abort, isEnded } = startBody();
  body.push(Buffer.alloc(frameBytes.windowMaximum + 1));
  body.push(null);
  await settle();
  t.false(isEnded());
  abort();
  t.is(kinds.at(-1), FrameKind.Break);
  t.true(isEnded());
});
