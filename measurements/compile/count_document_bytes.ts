import { Buffer } from "node:buffer";
import { PartKind } from "../../src/configuration/part_kind.ts";
import { createSizedDocument } from "../documents/create_sized_document.ts";
import { scaleDocumentSize } from "../documents/scale_document_size.ts";
import { createConfigurationSet } from "./create_configuration_set.ts";
import type { DocumentBytes } from "./document_bytes.ts";

/** Returns the sizes of a generated document, its manifest and its parts. */
export function countDocumentBytes(backendServers: number): DocumentBytes {
  const text = createSizedDocument(scaleDocumentSize(backendServers), {
    number: 1,
    variant: 0,
  });
  const set = createConfigurationSet(text);
  const parts = [...set.parts.values()];
  const countBytes = (value: unknown) =>
    Buffer.byteLength(JSON.stringify(value));
  const getSizes = (kind: PartKind) =>
    parts.filter((part) => part.kind === kind).map(countBytes);
  return {
    backendServers,
    document: Buffer.byteLength(text),
    manifest: countBytes(set.manifest),
    parts: parts.length,
    basePart: Math.max(...getSizes(PartKind.Base)),
    largestServicePart: Math.max(...getSizes(PartKind.Service)),
  };
}
