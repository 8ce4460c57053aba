/** Chart files are imported as text. The build inlines them, so that they are part of the binary. */
declare module "*.yaml" {
    const text: string;
    export default text;
}
