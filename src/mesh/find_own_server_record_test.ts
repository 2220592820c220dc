import test from "ava";
import { createAddressHolder } from "../address_holder/create_address_holder.ts";
import { putEntry } from "../register/put_entry.ts";
import type { RegisterEntry } from "../register/register_entry.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createMeshView } from "./create_mesh_view.ts";
import { findOwnServerRecord } from "./find_own_server_record.ts";
import type { MeshSettings } from "./mesh_settings.ts";

const service = "vitrine";
const address = { host: "127.0.0.1", port: 8_000 };
const settings = { service, backendServer: address } as MeshSettings;

function findIdentifier(
  entries: readonly Partial<RegisterEntry>[],
  seenIdentifier: string | undefined,
): string | undefined {
  const view = createMeshView();
  entries.forEach((entry) =>
    putEntry(
      view.register,
      createSampleEntry({ service, address, ...entry }),
    )
  );
  const addressHolder = createAddressHolder();
  if (seenIdentifier !== undefined) {
    const seenAt = { monotonic: 0, timeOfDay: 0 };
    addressHolder.latest = { identifier: seenIdentifier, seenAt };
  }
  return findOwnServerRecord({ view, settings, addressHolder })?.entry
    .identifier;
}

// Guards against a gate that counts a backend server as ended, since the time of
// day stepped back before its successor started.
test("the incarnation that answers is the own one, also if an earlier one states a later start", (t) => {
  const entries = [
    { identifier: "earlier", bornAt: 12_000 },
    { identifier: "later", bornAt: 9_000 },
  ];
  t.is(findIdentifier(entries, "later"), "later");
});

test("without an answer, the incarnation with the latest start is the own one", (t) => {
  const entries = [
    { identifier: "earlier", bornAt: 9_000 },
    { identifier: "later", bornAt: 12_000 },
  ];
  t.is(findIdentifier(entries, undefined), "later");
  t.is(findIdentifier(entries, "unlisted"), "later");
});
