import { Command } from "commander";
import { print } from "./output";

interface StandInOptions {
    readonly port: string;
    readonly workers: string;
    readonly service: string;
    readonly region: string;
    readonly failureDomains: string;
    readonly entries: string;
}

/** Adds the command that runs a stand-in for the platform and its workers, to test instances against. */
export function addStandInCommand(program: Command): void {
    program
        .command("stand-in")
        .description("run a stand-in for the platform and its workers on loopback, to test instances against")
        .option("--port <PORT>", "port of the platform", "7390")
        .option("--workers <COUNT>", "number of workers", "8")
        .option("--service <NAME>", "service whose upstream runs on the workers", "archebu")
        .option("--region <NAME>", "region of the workers", "de-cymru")
        .option("--failure-domains <NAMES>", "failure domains of the workers", "caerdydd,abertawe")
        .option(
            "--entries <ADDRESSES>",
            "addresses of the instances to register in service discovery",
            "127.0.0.1:7401",
        )
        .addHelpText("after", "\nExample:\n  wigeonstall stand-in --entries 127.0.0.1:7401,127.0.0.1:7402")
        .action(async (options: StandInOptions) => {
            const { StandInCluster } = await import("../../standin/node/standInCluster");
            const cluster = await StandInCluster.start({
                service: options.service,
                region: options.region,
                failureDomains: options.failureDomains.split(","),
                workers: Number(options.workers),
                workload: { families: {}, interference: {} },
                seed: 1,
                port: Number(options.port),
            });
            cluster.publish(options.entries.split(","));
            print(`platform is listening on ${cluster.platform.origin}, with ${options.workers} workers`);
        });
}
