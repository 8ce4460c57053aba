/** Host and port; the host is a name, an IPv4 address, or an IPv6 address in brackets. */
const ADDRESS = /^(?:[a-z0-9._-]{1,253}|\[[0-9a-f:.]{2,45}\]):(?<port>[1-9][0-9]{0,4})$/i;

const MAX_PORT = 65_535;

/** @param text Text from another program. @returns Whether it is a host and a port from 1 to 65535. */
export function isAddress(text: string): boolean {
    const port = Number(ADDRESS.exec(text)?.groups?.port);
    return port <= MAX_PORT && URL.canParse(`http://${text}`);
}
