import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { compileSnapshot } from "../../src/configuration/compile_snapshot.ts";
import { parseNodeSettings } from "../../src/daemon/parse_node_settings.ts";
import type { VmEntry } from "../../src/platform/vm_entry.ts";
import { formatAddress } from "../../src/runtime/format_address.ts";
import { createConfigurationSet } from "../compile/create_configuration_set.ts";
import { backendServerSettingsSchema } from "../../stand_ins/backend_server/backend_server_settings_schema.ts";
import { platformSettingsSchema } from "../../stand_ins/platform/platform_settings_schema.ts";
import { expectOk } from "../expect_ok.ts";

const folder = new URL("../../../docs/samples/", import.meta.url);
const settingsFiles = readdirSync(folder).filter((name) =>
  name.startsWith("settings")
);

function readSample(name: string): string {
  return readFileSync(new URL(name, folder), "utf8");
}

function compileSample() {
  return expectOk(
    compileSnapshot(createConfigurationSet(readSample("configuration.json"))),
  );
}

function parseSettingsSamples() {
  return settingsFiles.map((name) =>
    expectOk(parseNodeSettings(readSample(name), name))
  );
}

test("the configuration sample compiles", (t) => {
  t.deepEqual([...compileSample().services.keys()], ["vitrine", "encomendas"]);
});

test("the settings samples are valid and match the configuration sample", (t) => {
  const snapshot = compileSample();
  const samples = parseSettingsSamples();
  t.is(samples.length, snapshot.backendServers.size);
  samples.forEach((settings) => {
    const server = snapshot.backendServers.get(
      settings.backendServer?.name ?? "",
    );
    t.is(server?.vm, settings.vm);
    t.is(server?.zone, settings.zone);
    t.deepEqual(server?.address, settings.backendServer?.address);
    t.deepEqual(server?.nodeAddress, settings.listeners.nodes);
  });
});

test("the settings samples name each other as seed peers", (t) => {
  const samples = parseSettingsSamples();
  const listeners = samples.map((settings) => settings.listeners.nodes);
  samples.forEach((settings) =>
    settings.seedPeers.forEach((peer) =>
      t.true(
        listeners.some((address) =>
          address.host === peer.host && address.port === peer.port
        ),
      )
    )
  );
});

test("the stand-in samples are valid and use the addresses of the settings samples", (t) => {
  const platform = platformSettingsSchema.parse(
    JSON.parse(readSample("stand_in_platform.json")),
  );
  const backendServers = ["1", "2"].map((number) =>
    backendServerSettingsSchema.parse(
      JSON.parse(readSample(`stand_in_backend_server_${number}.json`)),
    )
  );
  parseSettingsSamples().forEach((settings, index) => {
    const backendServer = backendServers[index];
    t.is(platform.listen, formatAddress(settings.platform));
    t.is(backendServer?.name, settings.backendServer?.name);
    t.is(
      backendServer?.listen,
      settings.backendServer === null
        ? undefined
        : formatAddress(settings.backendServer.address),
    );
  });
});

test("the list of VMs contains the nodes of the settings samples", (t) => {
  const { vms } = JSON.parse(readSample("vms.json")) as {
    readonly vms: readonly VmEntry[];
  };
  t.deepEqual(
    vms.map(({ vm, zone, nodeAddress }) => ({ vm, zone, nodeAddress })),
    parseSettingsSamples().map(({ vm, zone, listeners }) => ({
      vm,
      zone,
      nodeAddress: listeners.nodes,
    })),
  );
});
