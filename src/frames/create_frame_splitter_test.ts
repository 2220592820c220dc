import test from "ava";
import fc from "fast-check";
import { createFrameSplitter } from "./create_frame_splitter.ts";
import { encodeFrameHeader } from "./encode_frame_header.ts";
import { frameBytes } from "./frame_bytes.ts";
import type { Frame } from "./frame.ts";
import { FrameKind } from "./frame_kind.ts";

const frameArbitrary: fc.Arbitrary<Frame> = fc.record({
  kind: fc.constantFrom(FrameKind.Offer, FrameKind.Data, FrameKind.Cancel),
  offer: fc.nat({ max: 4_294_967_295 }),
  payload: fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
});

function encode(frame: Frame): Buffer {
  return Buffer.concat([
    encodeFrameHeader(frame, frame.payload.byteLength),
    frame.payload,
  ]);
}

test("frames arrive whole and in order however their bytes are divided", (t) => {
  fc.assert(fc.property(
    fc.array(frameArbitrary, { maxLength: 12 }),
    fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1 }),
    (frames, sizes) => {
      const bytes = Buffer.concat(frames.map(encode));
      const split = createFrameSplitter();
      const received: Frame[] = [];
      let position = 0;
      for (let index = 0; position < bytes.byteLength; index += 1) {
        const end = position + sizes[index % sizes.length]!;
        received.push(...split(bytes.subarray(position, end))!);
        position = end;
      }
      t.deepEqual(received, frames);
    },
  ));
});

test("any bytes are frames or end the connection, and nothing is thrown", (t) => {
  fc.assert(fc.property(
    fc.array(fc.uint8Array({ maxLength: 64 }), { maxLength: 20 }),
    (chunks) => {
      const split = createFrameSplitter();
      const results = chunks.map((chunk) => split(Buffer.from(chunk)));
      const firstInvalid = results.indexOf(undefined);
      t.true(
        firstInvalid === -1 ||
          results.slice(firstInvalid).every((result) => result === undefined),
      );
    },
  ));
});

test("a frame above the limit ends the connection before its payload arrives", (t) => {
  const header = { kind: FrameKind.Data, offer: 1 };
  const split = createFrameSplitter();
  t.deepEqual(split(encodeFrameHeader(header, frameBytes.payloadMaximum)), []);
  t.is(
    createFrameSplitter()(
      encodeFrameHeader(header, frameBytes.payloadMaximum + 1),
    ),
    undefined,
  );
});
