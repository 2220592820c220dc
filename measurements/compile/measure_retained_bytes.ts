import { compileSnapshot } from "../../src/configuration/compile_snapshot.ts";
import { createSizedDocument } from "../documents/create_sized_document.ts";
import { scaleDocumentSize } from "../documents/scale_document_size.ts";
import { expectOk } from "../expect_ok.ts";
import { measureHeapGrowth } from "../measure_heap_growth.ts";
import { createConfigurationSet } from "./create_configuration_set.ts";

/** The copies together contain at least this many backend servers. */
const minimumRetainedBackendServers = 12_000;

/** Returns the memory that one version with its snapshot retains, in bytes. */
export function measureRetainedBytes(backendServers: number): number {
  const size = scaleDocumentSize(backendServers);
  const copies = Math.ceil(minimumRetainedBackendServers / backendServers);
  const growth = measureHeapGrowth(() =>
    Array.from({ length: copies }, (_, index) => {
      const text = createSizedDocument(size, {
        number: index + 1,
        variant: index,
      });
      const set = createConfigurationSet(text);
      return { set, snapshot: expectOk(compileSnapshot(set)) };
    })
  );
  return growth / copies;
}
